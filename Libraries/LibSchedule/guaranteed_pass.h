#pragma once

#include <optional>

#include "LibSchedule/eviction.h"
#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Starts waiting jobs that their account's guarantee covers, and preempts
/// borrowers of the guaranteed capacity.
class GuaranteedPass {
 public:
  explicit GuaranteedPass(PlannerState& state) : state_(&state) {}

  auto Run() -> void;

 private:
  auto TryStart(const WaitingJob& job) -> bool;
  auto PlaceNow(const WaitingJob& job, GuaranteeUnit& unit) -> bool;
  auto Reclaim(const WaitingJob& job, GuaranteeUnit& unit) -> bool;
  /// Moves an idle unit to where its whole shape is free now.
  auto MoveToFreeCapacity(GuaranteeUnit& unit) -> void;
  [[nodiscard]] auto PlanUnitReclaim(GuaranteeUnit& unit)
      -> std::optional<EvictionPlan>;
  [[nodiscard]] auto PlanReclaimInside(const WaitingJob& job,
                                       const GuaranteeUnit& unit)
      -> std::optional<EvictionPlan>;

  PlannerState* state_;
};

}  // namespace kcm::schedule
