#include "LibNode/heartbeats.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"

namespace kcm::node {

namespace {

constexpr core::Millis kBeatPeriod = 200;
constexpr member::SuspicionSettings kSuspicion{.suspect_after = 1000};

}  // namespace

Heartbeats::Heartbeats(net::EventLoop& loop,
                       net::Bus& bus,
                       std::vector<std::string> peers)
    : bus_(bus), peers_(std::move(peers)), table_(kSuspicion) {
  bus_.OnMessage("heartbeat", [this](const net::BusMessage& message) {
    const auto heartbeat = message.body.get<Heartbeat>();
    said_[message.from] = heartbeat;
    if (heartbeat.leaving) {
      table_.Forget(message.from);
      return;
    }
    if (table_.Heard(message.from, core::MonotonicNow())) {
      core::LogEvent(core::Event::kPeerAlive, {{"peer", message.from}});
    }
  });
  loop.Every(kBeatPeriod, [this] { Beat(); });
  loop.After(0, [this] { Beat(); });
}

auto Heartbeats::IsAlive(const std::string& peer) const -> bool {
  return (peer == bus_.self() && !own_.leaving) ||
         table_.IsAlive(peer, core::MonotonicNow());
}

auto Heartbeats::Alive() const -> std::vector<std::string> {
  return table_.Alive(core::MonotonicNow());
}

auto Heartbeats::SaidBy(const std::string& peer) const -> Heartbeat {
  const auto found = said_.find(peer);
  return found == said_.end() ? Heartbeat{} : found->second;
}

auto Heartbeats::Say(bool ready, bool reachable) -> void {
  if (ready == own_.ready && reachable == own_.reachable) {
    return;
  }
  own_.ready = ready;
  own_.reachable = reachable;
  Beat();
}

auto Heartbeats::SayLeaving() -> void {
  own_.leaving = true;
  Beat();
}

auto Heartbeats::Beat() -> void {
  table_.Tick(core::MonotonicNow());
  for (const auto& peer : peers_) {
    bus_.Send(peer, "heartbeat", own_);
  }
  auto alive = Alive();
  for (const auto& peer : known_alive_) {
    if (std::find(alive.begin(), alive.end(), peer) == alive.end()) {
      core::LogEvent(core::Event::kPeerSuspected, {{"peer", peer}});
    }
  }
  known_alive_ = std::move(alive);
}

}  // namespace kcm::node
