#pragma once

#include <optional>
#include <vector>

#include "LibSchedule/fleet_model.h"

namespace kcm::schedule {

/// Chooses workers and accelerators for a whole gang: of the groups of workers
/// that its adjacency permits and where it fits, the one where the fewest
/// members fit.
/// @return the members without lease ids, or nothing when it fits nowhere.
[[nodiscard]] auto FindPlacement(const FleetModel& fleet,
                                 const state::Shape& shape)
    -> std::optional<std::vector<state::Member>>;

}  // namespace kcm::schedule
