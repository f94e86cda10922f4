#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::schedule {

/// Weights and bounds of the scheduling policy.
struct PolicySettings {
  /// 0 optimises completion time only, 1 fragmentation only.
  double fragmentation_weight = 0.3;
  /// Longest time until borrowers (preemptible gangs) have left the capacity of
  /// a guarantee that its account claims.
  core::Millis reclaim_bound_ms = 10000;
  /// Wait after which the first gang of an account's JobClass may get a
  /// reservation.
  core::Millis reserve_after_ms = 2000;
  /// Age of a reservation after which borrowers that block it are preempted.
  core::Millis reservation_preempt_after_ms = 60000;
  /// Reservations that may be open at once.
  std::int64_t max_reservations = 1;
};

}  // namespace kcm::schedule
