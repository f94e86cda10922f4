#include "LibNode/log_follower.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kAskPeriod = 250;

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
  loop.Every(kAskPeriod, [this] { Ask(); });
  loop.After(0, [this] { Ask(); });
}

auto LogFollower::ConfirmedAge() const -> core::Millis {
  return core::MonotonicNow() - heard_at_;
}

auto LogFollower::Ask() -> void {
  const auto now = core::MonotonicNow();
  auto relay = choose_(now - std::max(heard_at_, relay_since_));
  if (relay != relay_) {
    relay_ = std::move(relay);
    relay_since_ = now;
  }
  if (relay_.empty()) {
    return;
  }
  core::Json next = core::Json::object();
  for (const auto& stream : log_.world().streams()) {
    next[stream] = log_.NextOffset(stream);
  }
  bus_.Send(relay_, "follow", {{"next", next}});
}

auto LogFollower::OnBatch(const net::BusMessage& message) -> void {
  if (message.from == relay_) {
    heard_at_ = core::MonotonicNow();
  }
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
  if (!whole) {
    Ask();
  }
}

}  // namespace kcm::node
