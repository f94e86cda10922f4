#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibSchedule/allocation.h"
#include "LibState/shape.h"

namespace kcm::schedule {

/// The capacity reserved for one gang of an account's guarantee, in member
/// slots: one slot holds one member of the guaranteed shape.
///
/// Its placement is subtracted from CellModel::uncommitted while the unit
/// exists. Gangs that are charged to the unit run inside its placement and use
/// up whole slots, so that the rest stays claimable.
struct GuaranteeUnit {
  std::string account;
  state::Shape shape;
  /// Member slots by worker; empty when the unit fits nowhere.
  Placement placement;
  /// Slots in use, by allocation.
  std::vector<std::int64_t> used;
  std::int64_t used_slots = 0;
  /// All allocations are on usable workers; unlike Gang::placed, not in the
  /// log.
  bool placed = false;

  [[nodiscard]] auto free_slots() const -> std::int64_t {
    return shape.members - used_slots;
  }
};

/// @return members of the job's shape that fit into one slot of the unit.
[[nodiscard]] auto MembersPerSlot(const state::Shape& unit,
                                  const state::Shape& job) -> std::int64_t;

/// @return slots of a unit that a gang uses up, or zero when the unit's shape
///     does not cover the gang's: a member fits into no slot, the slots do not
///     suffice, or the gang needs several and demands a stricter adjacency.
[[nodiscard]] auto SlotsNeeded(const state::Shape& unit,
                               const state::Shape& job) -> std::int64_t;

}  // namespace kcm::schedule
