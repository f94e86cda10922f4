#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibSchedule/action.h"
#include "LibSchedule/cell_model.h"
#include "LibSchedule/failure_tracker.h"
#include "LibSchedule/fair_share.h"
#include "LibSchedule/guarantee_ledger.h"
#include "LibSchedule/hold.h"
#include "LibSchedule/policy_settings.h"
#include "LibSchedule/run_time_estimate.h"
#include "LibSchedule/waiting_queue.h"
#include "LibState/row.h"

namespace kcm::schedule {

/// What the passes of the planner share, with the steps that change it.
class PlannerState {
 public:
  PlannerState(PolicySettings policy, std::string cell);

  /// Occupies the seats and emits PlaceGang.
  auto Place(const WaitingJob& job,
             Standing standing,
             GuaranteeUnit* unit,
             Seats seats) -> void;

  /// Finds room in a view, if there is some on workers where the job has not
  /// failed yet, else anywhere.
  [[nodiscard]] auto FindRoom(CapacityView& view, const WaitingJob& job) const
      -> std::optional<Seats>;

  /// Keeps seats for a waiting job; a unit is charged already.
  auto AddHold(Hold hold) -> void;
  /// Keeps seats for a waiting job and preempts the gangs that sit on them.
  auto PreemptFor(Hold hold, const std::vector<Gang*>& victims) -> void;
  /// Gives up the room; the job goes on waiting.
  auto CancelHold(const std::string& job) -> void;
  /// Cancels what is held for gangs without a claim to the room.
  auto CancelReservations() -> void;
  auto CancelAllHolds() -> void;

  /// Asks for a borrower's end, once.
  auto Preempt(Gang& gang, const std::string& beneficiary) -> void;

  /// Frees what a gang occupied.
  auto RemoveGang(const std::string& id) -> void;

  /// Takes a gang in as the log has it; its standing comes with a rebuild.
  auto AdoptGang(Gang gang) -> void;

  /// Derives units, standings and usage anew from rows, fleet and gangs.
  auto Rebuild() -> void;

  /// @return by what right a job runs that has no guarantee to claim.
  [[nodiscard]] auto StandingOf(const WaitingJob& job) const -> Standing;

  /// @return how much longer a gang is expected to run.
  [[nodiscard]] auto ExpectedRemaining(const Gang& gang, core::Millis now) const
      -> core::Millis;

  /// @return the account's row, or the default one.
  [[nodiscard]] auto RowOf(const std::string& account) const
      -> const state::Row&;

  /// @return whether the account's limits leave room for the job.
  [[nodiscard]] auto WithinLimits(const WaitingJob& job) const -> bool;

  /// Work that the end of a gang would lose, in accelerator milliseconds.
  [[nodiscard]] auto LostWork(const Gang& gang) const -> double;

  PolicySettings settings;
  std::string data_centre;
  core::Millis now = 0;
  CellModel model;
  GuaranteeLedger ledger;
  std::map<std::string, state::Row> rows;
  std::unordered_map<std::string, Gang> gangs;
  WaitingQueue waiting;
  std::map<std::string, Hold> holds;
  FairShare usage;
  RunTimeEstimate estimate;
  FailureTracker failures;
  std::set<std::string> cordoned;
  std::vector<Action> actions;
  /// Units, standings and usage must be derived anew.
  bool rebuild = true;

  /// Emits the preemption that waited for this gang's placement.
  auto OnPlaced(Gang& gang) -> void;

 private:
  [[nodiscard]] auto Membership(const Gang& gang) const
      -> std::vector<state::Member>;

  /// Beneficiaries of preemptions that wait for the gang's placement.
  std::unordered_map<std::string, std::string> pending_preemptions_;
};

}  // namespace kcm::schedule
