#pragma once

#include <algorithm>
#include <cstdint>

#include "LibCore/clock.h"
#include "LibDispatch/clock_witness.h"

namespace kcm::dispatch {

/// When all leases that former holders granted have expired, on this holder's
/// steady clock. Moves to an earlier time as witnesses of the moment from which
/// it counts are read.
class FormerLeaseBound {
 public:
  /// @param latest_moment a time not before the moment.
  /// @param span the leases expire at most this long after the moment.
  FormerLeaseBound(core::Millis latest_moment,
                   core::Millis span,
                   ClockWitnesses witnesses)
      : end_(latest_moment + span),
        span_(span),
        witnesses_(std::move(witnesses)) {}

  [[nodiscard]] auto end() const -> core::Millis { return end_; }
  [[nodiscard]] auto witnesses() const -> const ClockWitnesses& {
    return witnesses_;
  }

  /// Takes a reading of a worker's clock, which was made not after `now`.
  auto Observe(const std::string& worker,
               std::int64_t incarnation,
               core::Millis clock_ms,
               core::Millis now) -> void {
    for (const auto& witness : witnesses_) {
      if (witness.worker == worker && witness.incarnation == incarnation) {
        // A clock that is never fast gained at most the time that has passed.
        end_ = std::min(end_, now - (clock_ms - witness.latest_ms) + span_);
      }
    }
  }

 private:
  core::Millis end_;
  core::Millis span_;
  ClockWitnesses witnesses_;
};

}  // namespace kcm::dispatch
