#pragma once

#include <optional>
#include <string>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Checks that the capacity of every placed guarantee unit can be claimed now,
/// at most by preempting borrowers.
///
/// Adds up non-preemptible gangs and guarantee units from scratch: together
/// they must fit each worker, each unit must be a whole gang of its adjacency,
/// and each charged gang must run inside its unit. Borrowers do not count; they
/// are preempted on demand.
/// @return nothing, or the violation found.
[[nodiscard]] auto CheckReclaimable(const PlannerState& state)
    -> std::optional<std::string>;

/// Checks that no accelerator is allocated twice and no gang is partial.
/// @return nothing, or the violation found.
[[nodiscard]] auto CheckGangs(const PlannerState& state)
    -> std::optional<std::string>;

}  // namespace kcm::schedule
