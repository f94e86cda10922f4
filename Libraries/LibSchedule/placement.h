#pragma once

#include <optional>
#include <vector>

#include "LibSchedule/fleet_model.h"

namespace kcm::schedule {

/// Places a whole gang in the tightest group of workers where it fits.
/// @return the members without lease ids, or nothing when it fits nowhere.
[[nodiscard]] auto FindPlacement(const FleetModel& fleet,
                                 const state::Shape& shape)
    -> std::optional<std::vector<state::Member>>;

}  // namespace kcm::schedule
