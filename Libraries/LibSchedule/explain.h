#pragma once

#include <string>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Describes why a job waits, with numbers.
[[nodiscard]] auto ExplainWait(const PlannerState& state,
                               const std::string& job,
                               core::Millis now) -> std::string;

}  // namespace kcm::schedule
