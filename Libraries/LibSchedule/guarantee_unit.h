#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibSchedule/seat.h"
#include "LibState/shape.h"

namespace kcm::schedule {

/// One gang's worth of an account's guarantee, with the seats kept for it.
///
/// Its seats are taken out of the firm view for as long as the unit lasts.
/// Gangs of the account that are charged to the unit sit inside its seats and
/// use up whole member slots, so the rest of the unit stays claimable.
struct GuaranteeUnit {
  std::string account;
  state::Shape shape;
  /// Member slots by worker; empty when the unit finds no room.
  Seats seats;
  /// Slots in use, by seat.
  std::vector<std::int64_t> used;
  std::int64_t used_slots = 0;
  /// All seats are on usable workers.
  bool seated = false;

  [[nodiscard]] auto free_slots() const -> std::int64_t {
    return shape.members - used_slots;
  }
};

/// @return members of the job's shape that one slot of the unit holds.
[[nodiscard]] auto MembersPerSlot(const state::Shape& unit,
                                  const state::Shape& job) -> std::int64_t;

/// Decides whether a gang may be charged to a unit of this shape.
/// @return the slots it uses up, or zero when the unit does not cover it.
[[nodiscard]] auto SlotsNeeded(const state::Shape& unit,
                               const state::Shape& job) -> std::int64_t;

}  // namespace kcm::schedule
