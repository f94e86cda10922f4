#pragma once

#include <algorithm>
#include <optional>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// What is known of a worker's steady clock, which may run slow.
class WorkerClock {
 public:
  /// A worker told its clock.
  /// @param now when the answer arrived, on our steady clock.
  auto Observe(core::Millis clock_ms, core::Millis now) -> void {
    if (!seen_at_ || Earliest(now) <= clock_ms) {
      clock_ms_ = clock_ms;
      seen_at_ = now;
    }
  }

  [[nodiscard]] auto is_known() const -> bool { return seen_at_.has_value(); }

  /// @return what the worker's clock shows now, as far as one can tell.
  [[nodiscard]] auto Estimate(core::Millis now) const -> core::Millis {
    return clock_ms_ + (now - seen_at_.value_or(now));
  }

  /// @return a value that the worker's clock has passed for sure.
  [[nodiscard]] auto Earliest(core::Millis now) const -> core::Millis {
    const auto elapsed =
        std::max<core::Millis>(now - seen_at_.value_or(now), 0);
    return clock_ms_ + elapsed - elapsed / kSlowestDrift;
  }

 private:
  /// A worker's clock loses at most one part in this many.
  static constexpr core::Millis kSlowestDrift = 50;

  core::Millis clock_ms_ = 0;
  std::optional<core::Millis> seen_at_;
};

}  // namespace kcm::dispatch
