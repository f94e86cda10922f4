#pragma once

#include <string>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Says in words and figures why a job waits.
[[nodiscard]] auto ExplainWait(const PlannerState& state,
                               const std::string& job,
                               core::Millis now) -> std::string;

}  // namespace kcm::schedule
