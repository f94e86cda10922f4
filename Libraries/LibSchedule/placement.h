#pragma once

#include <optional>
#include <vector>

#include "LibSchedule/fleet_model.h"

namespace kcm::schedule {

/// Finds room for a whole gang: the tightest rack that holds it.
/// @return the members without lease ids, or nothing when there is no room.
[[nodiscard]] auto FindPlacement(const FleetModel& fleet,
                                 const state::Shape& shape)
    -> std::optional<std::vector<state::Member>>;

}  // namespace kcm::schedule
