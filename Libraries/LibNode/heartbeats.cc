#include "LibNode/heartbeats.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"

namespace kcm::node {

namespace {

constexpr core::Millis kHeartbeatPeriodMs = 200;
constexpr member::SuspicionSettings kSuspicion{.suspect_after_ms = 1000};

}  // namespace

Heartbeats::Heartbeats(net::EventLoop& loop,
                       net::Bus& bus,
                       std::vector<std::string> peers)
    : bus_(bus), peers_(std::move(peers)), table_(kSuspicion) {
  bus_.OnMessage("heartbeat", [this](const net::BusMessage& message) {
    const auto heartbeat = message.body.get<Heartbeat>();
    last_heartbeats_[message.from] = heartbeat;
    if (heartbeat.leaving) {
      table_.MarkDead(message.from);
      return;
    }
    if (table_.RecordHeartbeat(message.from, core::MonotonicNow())) {
      core::LogEvent(core::Event::kPeerAlive, {{"peer", message.from}});
    }
  });
  loop.Every(kHeartbeatPeriodMs, [this] { SendHeartbeats(); });
  loop.After(0, [this] { SendHeartbeats(); });
}

auto Heartbeats::IsAlive(const std::string& peer) const -> bool {
  return (peer == bus_.self() && !own_.leaving) ||
         table_.IsAlive(peer, core::MonotonicNow());
}

auto Heartbeats::AlivePeers() const -> std::vector<std::string> {
  return table_.AlivePeers(core::MonotonicNow());
}

auto Heartbeats::LastHeartbeatOf(const std::string& peer) const -> Heartbeat {
  const auto found = last_heartbeats_.find(peer);
  return found == last_heartbeats_.end() ? Heartbeat{} : found->second;
}

auto Heartbeats::SetStatus(bool ready, bool reachable) -> void {
  if (ready == own_.ready && reachable == own_.reachable) {
    return;
  }
  own_.ready = ready;
  own_.reachable = reachable;
  SendHeartbeats();
}

auto Heartbeats::AnnounceLeaving() -> void {
  own_.leaving = true;
  SendHeartbeats();
}

auto Heartbeats::SendHeartbeats() -> void {
  table_.RecordRunning(core::MonotonicNow());
  for (const auto& peer : peers_) {
    bus_.Send(peer, "heartbeat", own_);
  }
  auto alive = AlivePeers();
  for (const auto& peer : last_alive_) {
    if (std::find(alive.begin(), alive.end(), peer) == alive.end()) {
      core::LogEvent(core::Event::kPeerSuspected, {{"peer", peer}});
    }
  }
  last_alive_ = std::move(alive);
}

}  // namespace kcm::node
