#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/allocation.h"
#include "LibSchedule/allocation_class.h"
#include "LibSchedule/guarantee_unit.h"

namespace kcm::schedule {

/// Capacity held for one waiting gang until the gangs that occupy it end.
///
/// A reclaim (borrowers make room for a gang that its account's guarantee
/// covers) and an urgent job preempt their victims at once. A reservation waits
/// for gangs to end and preempts only after
/// PolicySettings::reservation_preempt_after_ms, or at once when moving the
/// victims elsewhere is worthwhile.
struct Hold {
  std::string job;
  state::Shape shape;
  AllocationClass allocation_class = AllocationClass::kBorrowed;
  GuaranteeUnit* unit = nullptr;
  Placement placement;
  /// Job ids of the borrowers that occupy the placement.
  std::vector<std::string> victims = {};
  /// False for the hold of a reclaim or of an urgent job.
  bool reservation = false;
  core::Millis since = 0;
  core::Millis preempt_at = 0;
  /// When the last gang that occupies the placement is expected to end.
  core::Millis expected_ready = 0;
};

}  // namespace kcm::schedule
