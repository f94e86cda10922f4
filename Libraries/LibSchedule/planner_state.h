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
#include "LibState/account_row.h"

namespace kcm::schedule {

/// State shared by the passes of the planner.
class PlannerState {
 public:
  /// @param cell the data centre to schedule.
  PlannerState(PolicySettings policy, std::string cell);

  /// Occupies the placement and emits PlaceGang.
  auto Place(const WaitingJob& job,
             AllocationClass allocation_class,
             GuaranteeUnit* unit,
             Placement placement) -> void;

  /// Finds a placement in a view, preferably on workers where the job has not
  /// failed yet.
  [[nodiscard]] auto FindPlacement(CapacityView& view,
                                   const WaitingJob& job) const
      -> std::optional<Placement>;

  /// Holds capacity for a waiting job. A hold inside a guarantee unit must be
  /// charged to it already, see GuaranteeLedger::Charge().
  auto AddHold(Hold hold) -> void;
  /// Holds capacity for a waiting job and preempts the gangs that occupy it.
  auto PreemptFor(Hold hold, const std::vector<Gang*>& victims) -> void;
  /// Releases the capacity; the job stays in the queue.
  auto CancelHold(const std::string& job) -> void;
  /// Cancels reservations; holds of reclaims and urgent jobs stay.
  auto CancelReservations() -> void;
  auto CancelAllHolds() -> void;

  /// Emits the preemption of a borrower, once.
  auto Preempt(Gang& gang, const std::string& beneficiary) -> void;

  /// Frees what a gang occupied.
  auto RemoveGang(const std::string& id) -> void;

  /// Adds a gang that the log has as placed but this planner did not place; the
  /// next Rebuild() sets its allocation class.
  auto AdoptGang(Gang gang) -> void;

  /// Derives guarantee units, allocation classes and usage from rows, fleet and
  /// gangs.
  auto Rebuild() -> void;

  /// @return the class of a job that no guarantee covers.
  [[nodiscard]] auto AllocationClassOf(const WaitingJob& job) const
      -> AllocationClass;

  /// @return how much longer a gang is expected to run.
  [[nodiscard]] auto ExpectedRemaining(const Gang& gang, core::Millis now) const
      -> core::Millis;

  /// @return the account's row, or the default one.
  [[nodiscard]] auto RowOf(const std::string& account) const
      -> const state::AccountRow&;

  /// @return whether the job fits the account's limits.
  [[nodiscard]] auto WithinLimits(const WaitingJob& job) const -> bool;

  /// @return work that a preemption would lose, in accelerator milliseconds.
  [[nodiscard]] auto LostWork(const Gang& gang) const -> double;

  PolicySettings settings;
  std::string data_centre;
  core::Millis now = 0;
  CellModel model;
  GuaranteeLedger ledger;
  std::map<std::string, state::AccountRow> rows;
  std::unordered_map<std::string, Gang> gangs;
  WaitingQueue waiting;
  std::map<std::string, Hold> holds;
  FairShare usage;
  RunTimeEstimate estimate;
  FailureTracker failures;
  std::set<std::string> cordoned;
  std::vector<Action> actions;
  /// Rebuild() is due.
  bool needs_rebuild = true;

  /// Marks a gang as placed and emits its pending preemption.
  auto ConfirmPlacement(Gang& gang) -> void;

 private:
  [[nodiscard]] auto MembersOf(const Gang& gang) const
      -> std::vector<state::Member>;

  /// Beneficiaries of preemptions that wait for the gang's placement.
  std::unordered_map<std::string, std::string> pending_preemptions_;
};

}  // namespace kcm::schedule
