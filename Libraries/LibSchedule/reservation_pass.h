#pragma once

#include <string>

#include "LibSchedule/eviction.h"
#include "LibSchedule/open_pass.h"
#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Carries holds to their end and opens reservations for gangs that waited
/// too long.
///
/// Of the gangs that wait for room for longer than reserve_after, the one with
/// the largest product of accelerators and wait gets a reservation on the seats
/// that are expected to be free first. Nobody else starts there but preemptible
/// gangs expected to end before. After the patience, what is preemptible and in
/// the way is preempted. So a gang waits at most for reserve_after, for the
/// reservations of gangs with a larger product, and for the longer of the
/// patience and the run of what cannot be preempted on its seats, with one
/// reclaim. The product of a waiting gang only grows, so its turn comes.
class ReservationPass {
 public:
  explicit ReservationPass(PlannerState& state) : state_(&state) {}

  /// Places the gangs whose held room is free and preempts what is due.
  auto FinishHolds() -> void;
  /// Opens reservations for those who waited longest.
  auto Reserve(const OpenPass::Blocked& blocked) -> void;
  /// Uses held room that idles for short preemptible gangs.
  auto Backfill(const OpenPass::Blocked& blocked) -> void;

 private:
  auto Finish(const std::string& job) -> void;
  auto Push(const Hold& hold) -> void;
  [[nodiscard]] auto OnlyBorrowersInTheWay(const Hold& hold) const -> bool;
  auto PushSeat(const Hold& hold, const Seat& seat) -> void;
  /// @return accelerators times wait.
  [[nodiscard]] auto UrgencyOf(const WaitingJob& job) const -> std::int64_t;
  /// Cancels the reservation of a far smaller gang.
  /// @return whether one was cancelled.
  auto Displace(const WaitingJob& job) -> bool;
  [[nodiscard]] auto MostStarved(const OpenPass::Blocked& blocked)
      -> WaitingJob*;
  auto Open(WaitingJob& job) -> bool;
  /// @return whether the victims can go on elsewhere at once and the gang has
  ///     waited long enough to pay for their moves.
  [[nodiscard]] auto MovesPay(const WaitingJob& job, const EvictionPlan& plan)
      -> bool;
  auto BackfillHold(const Hold& hold, const OpenPass::Blocked& blocked) -> void;
  [[nodiscard]] auto FindInside(const Hold& hold, const state::Shape& shape)
      -> std::optional<Seats>;

  PlannerState* state_;
};

}  // namespace kcm::schedule
