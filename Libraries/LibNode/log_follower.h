#pragma once

#include <functional>
#include <string>

#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"

namespace kcm::node {

/// Receives the log from one relay at a time and repairs gaps.
///
/// The relay pushes new records at once. Short confirmations keep the two in
/// touch; now and then the follower tells its offsets and the chain of its
/// verdicts, which repairs lost pushes and reveals a fold that differs.
class LogFollower {
 public:
  /// Chooses the relay to follow; empty while none is wanted.
  /// @param silent_ms span since the present relay last confirmed.
  using Choose = std::function<std::string(core::Millis silent_ms)>;

  LogFollower(net::EventLoop& loop,
              net::Bus& bus,
              LogState& log,
              Choose choose);

  /// @return the relay followed now; empty when none is.
  [[nodiscard]] auto relay() const -> const std::string& { return relay_; }

  /// @return span since the relay last confirmed that we are up to date.
  [[nodiscard]] auto ConfirmedAge() const -> core::Millis;

  /// @return whether a ready relay has ever confirmed that we are up to date.
  [[nodiscard]] auto caught_up() const -> bool { return caught_up_; }

 private:
  auto Ask() -> void;
  auto AskInFull() -> void;
  auto OnBatch(const net::BusMessage& message) -> void;
  auto Confirm() -> void;

  net::Bus& bus_;
  LogState& log_;
  Choose choose_;
  std::string relay_;
  core::Millis relay_since_ = 0;
  core::Millis confirmed_at_ = 0;
  core::Millis full_at_ = 0;
  bool caught_up_ = false;
};

}  // namespace kcm::node
