#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibSchedule/allocation.h"
#include "LibState/shape.h"

namespace kcm::schedule {

/// One gang's worth of an account's guarantee and the capacity reserved for it.
///
/// Its placement is subtracted from the uncommitted view while the unit exists.
/// Gangs that are charged to the unit run inside its placement and use up whole
/// member slots, so that the rest stays claimable.
struct GuaranteeUnit {
  std::string account;
  state::Shape shape;
  /// Member slots by worker; empty when the unit fits nowhere.
  Seats placement;
  /// Slots in use, by allocation.
  std::vector<std::int64_t> used;
  std::int64_t used_slots = 0;
  /// All allocations are on usable workers.
  bool placed = false;

  [[nodiscard]] auto free_slots() const -> std::int64_t {
    return shape.members - used_slots;
  }
};

/// @return members of the job's shape that fit into one slot of the unit.
[[nodiscard]] auto MembersPerSlot(const state::Shape& unit,
                                  const state::Shape& job) -> std::int64_t;

/// @return slots of a unit that a gang uses up, or zero when the unit's shape
///     does not cover the gang's.
[[nodiscard]] auto SlotsNeeded(const state::Shape& unit,
                               const state::Shape& job) -> std::int64_t;

}  // namespace kcm::schedule
