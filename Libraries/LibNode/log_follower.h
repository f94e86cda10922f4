#pragma once

#include <functional>
#include <string>

#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"

namespace kcm::node {

/// Receives the log from one relay at a time and repairs gaps.
class LogFollower {
 public:
  /// Chooses the relay to follow; empty while none is wanted.
  /// @param silent_ms span since the present relay was heard.
  using Choose = std::function<std::string(core::Millis silent_ms)>;

  LogFollower(net::EventLoop& loop,
              net::Bus& bus,
              LogState& log,
              Choose choose);

  /// @return the relay followed now; empty when none is.
  [[nodiscard]] auto relay() const -> const std::string& { return relay_; }

  /// @return span since the relay last confirmed that we are up to date.
  [[nodiscard]] auto ConfirmedAge() const -> core::Millis;

 private:
  auto Ask() -> void;
  auto OnBatch(const net::BusMessage& message) -> void;

  net::Bus& bus_;
  LogState& log_;
  Choose choose_;
  std::string relay_;
  core::Millis relay_since_ = 0;
  core::Millis heard_at_ = 0;
};

}  // namespace kcm::node
