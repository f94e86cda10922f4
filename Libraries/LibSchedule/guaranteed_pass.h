#pragma once

#include <optional>

#include "LibSchedule/eviction.h"
#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Starts waiting jobs that their account's guarantee covers, and reclaims
/// the room from borrowers where it is lent.
class GuaranteedPass {
 public:
  explicit GuaranteedPass(PlannerState& state) : state_(&state) {}

  auto Run() -> void;

 private:
  auto Try(const WaitingJob& job) -> bool;
  auto PlaceNow(const WaitingJob& job, GuaranteeUnit& unit) -> bool;
  auto Reclaim(const WaitingJob& job, GuaranteeUnit& unit) -> bool;
  /// Moves an idle unit to where a gang of its whole shape is free now.
  auto MoveToFreeRoom(GuaranteeUnit& unit) -> void;
  [[nodiscard]] auto ReclaimWhole(GuaranteeUnit& unit)
      -> std::optional<EvictionPlan>;
  [[nodiscard]] auto ReclaimInside(const WaitingJob& job,
                                   const GuaranteeUnit& unit)
      -> std::optional<EvictionPlan>;

  PlannerState* state_;
};

}  // namespace kcm::schedule
