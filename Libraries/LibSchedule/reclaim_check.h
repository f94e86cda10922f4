#pragma once

#include <optional>
#include <string>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Checks that every seated guarantee can be claimed now.
///
/// Adds up, from scratch, what cannot be preempted and the seats kept for
/// unused guarantees: together they must fit each worker, each unit must be a
/// whole gang of its adjacency, and each charged gang must sit inside its
/// unit. Borrowers are left out, for they are preempted on demand.
/// @return nothing when it holds, else what is broken.
[[nodiscard]] auto CheckReclaimable(const PlannerState& state)
    -> std::optional<std::string>;

/// Checks that no accelerator is held twice and no gang is partial.
/// @return nothing when it holds, else what is broken.
[[nodiscard]] auto CheckGangs(const PlannerState& state)
    -> std::optional<std::string>;

}  // namespace kcm::schedule
