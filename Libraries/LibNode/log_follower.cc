#include "LibNode/log_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kFollowRequestPeriodMs = 250;
constexpr core::Millis kFullRequestPeriodMs = 1000;

}  // namespace

LogFollower::LogFollower(net::EventLoop& loop,
                         net::Bus& bus,
                         LogState& log,
                         RelaySelector select_relay)
    : bus_(bus),
      log_(log),
      select_relay_(std::move(select_relay)),
      relay_since_(core::MonotonicNow()) {
  bus_.OnMessage("log_batch",
                 [this](const net::BusMessage& message) { OnBatch(message); });
  loop.Every(kFollowRequestPeriodMs, [this] { SendRequest(); });
  loop.After(0, [this] { SendRequest(); });
}

auto LogFollower::ConfirmedAge() const -> core::Millis {
  return core::MonotonicNow() - confirmed_at_;
}

auto LogFollower::SendRequest() -> void {
  const auto now = core::MonotonicNow();
  auto relay = select_relay_(now - std::max(confirmed_at_, relay_since_));
  const bool changed = relay != relay_;
  if (changed) {
    relay_ = std::move(relay);
    relay_since_ = now;
  }
  if (relay_.empty()) {
    return;
  }
  if (changed || now - full_request_at_ >= kFullRequestPeriodMs) {
    SendFullRequest();
  } else {
    bus_.Send(relay_, "follow", core::Json::object());
  }
}

auto LogFollower::SendFullRequest() -> void {
  full_request_at_ = core::MonotonicNow();
  core::Json next = core::Json::object();
  core::Json chains = core::Json::object();
  for (const auto& stream : log_.cluster_state().streams()) {
    const auto* fold = log_.cluster_state().FindFold(stream);
    next[stream] = fold->next_offset();
    chains[stream] = fold->results_digest();
  }
  bus_.Send(relay_, "follow", {{"next", next}, {"chains", chains}});
}

auto LogFollower::OnBatch(const net::BusMessage& message) -> void {
  bool without_gap = true;
  for (const auto& [stream, part] : message.body.at("streams").items()) {
    if (part.contains("snapshot")) {
      log_.ApplySnapshot(stream, part.at("snapshot"));
      continue;
    }
    without_gap =
        log_.ApplyRecords(stream, part.at("first").get<std::int64_t>(),
                          part.at("records").get<std::vector<core::Json>>()) &&
        without_gap;
  }
  if (message.from != relay_) {
    return;
  }
  if (!without_gap || message.body.value("more", false)) {
    SendFullRequest();
  } else if (message.body.value("ready", false)) {
    RecordConfirmation();
  }
}

auto LogFollower::RecordConfirmation() -> void {
  confirmed_at_ = core::MonotonicNow();
  caught_up_ = true;
}

}  // namespace kcm::node
