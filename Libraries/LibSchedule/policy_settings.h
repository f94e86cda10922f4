#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::schedule {

/// What the users weigh and the bounds that the planner keeps.
struct PolicySettings {
  /// Zero weighs completion time only, one weighs fragmentation only.
  double fragmentation_weight = 0.3;
  /// Bound on the reclaim of a guaranteed shape.
  core::Millis reclaim_bound_ms = 10000;
  /// Wait after which a gang at the head gets a reservation.
  core::Millis reserve_after_ms = 2000;
  /// Age of a reservation after which preemptible gangs in its way are
  /// preempted.
  core::Millis reservation_patience_ms = 60000;
  /// Reservations that may be open at once.
  std::int64_t max_reservations = 1;
};

}  // namespace kcm::schedule
