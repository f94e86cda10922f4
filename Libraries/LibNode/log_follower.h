#pragma once

#include <functional>
#include <string>

#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"

namespace kcm::node {

/// Receives the log's records from one relay at a time and closes gaps.
///
/// The relay pushes new records at once. The follower sends it periodic
/// requests; an answer of a ready relay that leaves nothing missing confirms
/// that the follower is up to date. Most requests are empty; one each second
/// contains, by stream, the next offset and a hash of the results of all
/// records applied so far. The relay resends records from that offset on; a
/// hash that differs from its own at the same offset shows that the two
/// processes' states have diverged.
class LogFollower {
 public:
  /// Selects the relay to follow; empty for none.
  /// @param silent_ms time since the current relay last confirmed.
  using RelaySelector = std::function<std::string(core::Millis silent_ms)>;

  LogFollower(net::EventLoop& loop,
              net::Bus& bus,
              LogState& log,
              RelaySelector select_relay);

  /// @return the relay followed now, or empty.
  [[nodiscard]] auto relay() const -> const std::string& { return relay_; }

  /// @return time since the relay last confirmed that we are up to date.
  [[nodiscard]] auto ConfirmedAge() const -> core::Millis;

  /// @return whether a ready relay ever confirmed that we are up to date.
  [[nodiscard]] auto caught_up() const -> bool { return caught_up_; }

 private:
  auto SendRequest() -> void;
  auto SendFullRequest() -> void;
  auto OnBatch(const net::BusMessage& message) -> void;
  auto RecordConfirmation() -> void;

  net::Bus& bus_;
  LogState& log_;
  RelaySelector select_relay_;
  std::string relay_;
  core::Millis relay_since_ = 0;
  core::Millis confirmed_at_ = 0;
  core::Millis full_request_at_ = 0;
  bool caught_up_ = false;
};

}  // namespace kcm::node
