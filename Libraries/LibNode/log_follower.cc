#include "LibNode/log_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kLogAskPeriod = 250;
constexpr core::Millis kFullPeriod = 1000;

}  // namespace

LogFollower::LogFollower(net::EventLoop& loop,
                         net::Bus& bus,
                         LogState& log,
                         Choose choose)
    : bus_(bus),
      log_(log),
      choose_(std::move(choose)),
      relay_since_(core::MonotonicNow()) {
  bus_.OnMessage("log_batch",
                 [this](const net::BusMessage& message) { OnBatch(message); });
  loop.Every(kLogAskPeriod, [this] { Ask(); });
  loop.After(0, [this] { Ask(); });
}

auto LogFollower::ConfirmedAge() const -> core::Millis {
  return core::MonotonicNow() - confirmed_at_;
}

auto LogFollower::Ask() -> void {
  const auto now = core::MonotonicNow();
  auto relay = choose_(now - std::max(confirmed_at_, relay_since_));
  const bool changed = relay != relay_;
  if (changed) {
    relay_ = std::move(relay);
    relay_since_ = now;
  }
  if (relay_.empty()) {
    return;
  }
  if (changed || now - full_at_ >= kFullPeriod) {
    AskInFull();
  } else {
    bus_.Send(relay_, "follow", core::Json::object());
  }
}

auto LogFollower::AskInFull() -> void {
  full_at_ = core::MonotonicNow();
  core::Json next = core::Json::object();
  core::Json chains = core::Json::object();
  for (const auto& stream : log_.world().streams()) {
    const auto* fold = log_.world().FindFold(stream);
    next[stream] = fold->next_offset();
    chains[stream] = fold->chain();
  }
  bus_.Send(relay_, "follow", {{"next", next}, {"chains", chains}});
}

auto LogFollower::OnBatch(const net::BusMessage& message) -> void {
  bool whole = true;
  for (const auto& [stream, part] : message.body.at("streams").items()) {
    if (part.contains("snapshot")) {
      log_.ApplySnapshot(stream, part.at("snapshot"));
      continue;
    }
    whole =
        log_.ApplyRecords(stream, part.at("first").get<std::int64_t>(),
                          part.at("records").get<std::vector<core::Json>>()) &&
        whole;
  }
  if (message.from != relay_) {
    return;
  }
  if (!whole || message.body.value("more", false)) {
    AskInFull();
  } else if (message.body.value("ready", false)) {
    Confirm();
  }
}

auto LogFollower::Confirm() -> void {
  confirmed_at_ = core::MonotonicNow();
  caught_up_ = true;
}

}  // namespace kcm::node
