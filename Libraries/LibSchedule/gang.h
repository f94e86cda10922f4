#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/allocation.h"
#include "LibSchedule/allocation_class.h"
#include "LibState/recovery.h"
#include "LibState/shape.h"

namespace kcm::schedule {

struct GuaranteeUnit;

/// What the planner counts as occupied by one gang, from its PlaceGang action,
/// while its leases are still acquired (assembling), until it ends or is
/// requeued. gang::Gang runs the protocol of the same attempt.
struct Gang {
  std::string id;
  std::string account;
  state::Shape shape;
  state::Recovery recovery = state::Recovery::kNone;
  bool urgent = false;
  /// The placement is committed: the log has accepted its record.
  bool placed = false;
  /// A preemption is pending.
  bool preempting = false;
  AllocationClass allocation_class = AllocationClass::kNonPreemptible;
  /// The unit whose slots the gang uses (is charged to) when its class is
  /// kGuaranteed.
  GuaranteeUnit* unit = nullptr;
  std::int64_t attempt = 0;
  core::Millis declared_ms = 0;
  core::Millis waiting_since = 0;
  core::Millis started = 0;
  Placement placement;
  /// Accelerators of each allocation, as bits.
  std::vector<std::uint64_t> masks;
};

}  // namespace kcm::schedule
