#pragma once

#include <string>

#include "LibSchedule/eviction.h"
#include "LibSchedule/planner_state.h"
#include "LibSchedule/unguaranteed_pass.h"

namespace kcm::schedule {

/// Completes holds and opens reservations for starved gangs.
///
/// Of the gangs that wait for capacity longer than reserve_after_ms, the one
/// with the largest product of accelerators and wait gets a reservation on the
/// placement expected to be free first. Only preemptible gangs expected to end
/// before that placement is free may backfill it. After
/// reservation_preempt_after_ms, the borrowers that block it are preempted. A
/// gang thus waits at most for reserve_after_ms, for reservations of gangs with
/// a larger product, and for the longer of reservation_preempt_after_ms and the
/// run of non-preemptible gangs on its placement, plus the time that
/// preempted gangs need to stop. The product of a waiting gang only grows, so
/// that none starves. The times are those of PolicySettings.
class ReservationPass {
 public:
  explicit ReservationPass(PlannerState& state) : state_(&state) {}

  /// Places the gangs whose held capacity is free; preempts blockers when due.
  auto FinishHolds() -> void;
  /// Opens reservations for the most starved gangs.
  auto OpenReservations(const UnguaranteedPass::Blocked& blocked) -> void;
  /// Uses idle held capacity for short preemptible gangs.
  auto Backfill(const UnguaranteedPass::Blocked& blocked) -> void;

 private:
  auto FinishHold(const std::string& job) -> void;
  auto PreemptBlockers(const Hold& hold) -> void;
  [[nodiscard]] auto OnlyBorrowersBlock(const Hold& hold) const -> bool;
  auto PreemptBlockersOn(const Hold& hold, const Allocation& allocation)
      -> void;
  /// @return accelerators times wait, in accelerator milliseconds.
  [[nodiscard]] auto StarvationOf(const WaitingJob& job) const -> std::int64_t;
  /// Cancels the reservation of a far smaller gang.
  /// @return whether one was cancelled.
  auto DisplaceSmaller(const WaitingJob& job) -> bool;
  [[nodiscard]] auto MostStarved(const UnguaranteedPass::Blocked& blocked)
      -> WaitingJob*;
  auto OpenReservation(WaitingJob& job) -> bool;
  /// @return whether all victims fit elsewhere now and the work that moving
  ///     them loses does not outweigh the gang's wait.
  [[nodiscard]] auto IsMigrationWorthwhile(const WaitingJob& job,
                                           const EvictionPlan& plan) -> bool;
  auto BackfillHold(const Hold& hold, const UnguaranteedPass::Blocked& blocked)
      -> void;
  [[nodiscard]] auto FindPlacementInside(const Hold& hold,
                                         const state::Shape& shape)
      -> std::optional<Placement>;

  PlannerState* state_;
};

}  // namespace kcm::schedule
