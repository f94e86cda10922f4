#pragma once

#include <algorithm>
#include <optional>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Estimates a worker's steady clock, which may run slow.
class WorkerClock {
 public:
  /// Records a reading of the worker's clock.
  /// @param now when the answer arrived, on the local steady clock.
  auto Observe(core::Millis clock_ms, core::Millis now) -> void {
    if (!observed_at_ || Earliest(now) <= clock_ms) {
      clock_ms_ = clock_ms;
      observed_at_ = now;
    }
  }

  /// Records that a reading was made not before `sent_at`.
  auto ObserveSince(core::Millis clock_ms, core::Millis sent_at) -> void {
    const auto lead = clock_ms + 1 - sent_at;
    most_lead_ms_ = std::min(most_lead_ms_.value_or(lead), lead);
  }

  /// @return an upper bound of the current reading of the worker's clock;
  ///     nothing before ObserveSince().
  [[nodiscard]] auto Latest(core::Millis now) const
      -> std::optional<core::Millis> {
    return most_lead_ms_ ? std::optional(now + *most_lead_ms_) : std::nullopt;
  }

  [[nodiscard]] auto is_known() const -> bool {
    return observed_at_.has_value();
  }

  /// @return the estimated current reading of the worker's clock.
  [[nodiscard]] auto Estimate(core::Millis now) const -> core::Millis {
    return clock_ms_ + (now - observed_at_.value_or(now));
  }

  /// @return a lower bound of the current reading of the worker's clock.
  [[nodiscard]] auto Earliest(core::Millis now) const -> core::Millis {
    const auto elapsed =
        std::max<core::Millis>(now - observed_at_.value_or(now), 0);
    return clock_ms_ + elapsed - elapsed / kDriftDivisor;
  }

  /// @return an upper bound of the time until the worker's clock passes a
  ///     reading.
  [[nodiscard]] auto LongestUntil(core::Millis clock_ms, core::Millis now) const
      -> core::Millis {
    const auto remaining =
        std::max<core::Millis>(clock_ms - Earliest(now), 0) + 1;
    return remaining + remaining / (kDriftDivisor - 1) + 1;
  }

 private:
  /// A worker's clock loses at most one part in this many (2 %).
  static constexpr core::Millis kDriftDivisor = 50;

  core::Millis clock_ms_ = 0;
  std::optional<core::Millis> observed_at_;
  /// Upper bound of how far the worker's clock is ahead of the local one.
  std::optional<core::Millis> most_lead_ms_;
};

}  // namespace kcm::dispatch
