#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/action.h"
#include "LibSchedule/policy_settings.h"
#include "LibState/account_row.h"
#include "LibState/fleet.h"
#include "LibState/job.h"

namespace kcm::schedule {

class PlannerState;

/// Decides what runs where in one data centre.
///
/// The planner holds no socket, clock or thread. Its driver reports events,
/// calls Plan() and carries out the actions. An action counts as pending until
/// the driver reports its result: JobPlaced() or JobWaiting() after PlaceGang,
/// JobWaiting() or JobEnded() after PreemptGang.
class Planner {
 public:
  Planner(PolicySettings settings, std::string data_centre);
  Planner(Planner&& other) noexcept;
  auto operator=(Planner&& other) noexcept -> Planner&;
  ~Planner();

  /// Replaces the workers on record; placed gangs stay where they are.
  auto SetFleet(const state::Fleet& fleet) -> void;

  /// Replaces the table of weights, limits and guarantees.
  auto SetRows(const std::map<std::string, state::AccountRow>& rows) -> void;

  /// Includes a worker, or excludes one that is leaving, cordoned, unreachable
  /// or not among the workers that run now.
  auto SetWorkerUsable(const std::string& worker, bool usable) -> void;

  /// Puts a worker that the planner cordoned back into service.
  auto UncordonWorker(const std::string& worker) -> void;

  /// A job waits for a placement: new, requeued, or its placement failed.
  /// Has no effect when the job already waits with the same attempt.
  auto JobWaiting(const state::Job& job, core::Millis now) -> void;

  /// The placement of a gang was committed to the log.
  auto JobPlaced(const state::Job& job, core::Millis now) -> void;

  /// An attempt failed and the job may wait again; call before JobWaiting().
  /// @param bad_worker the worker on which the task failed.
  auto AttemptFailed(const state::Job& job,
                     const std::string& bad_worker,
                     core::Millis now) -> void;

  /// A job ended. Done and failed attempts update run time estimates and
  /// failure statistics.
  /// @param bad_worker the worker on which the task failed, if one did.
  auto JobEnded(const state::Job& job,
                const std::string& bad_worker,
                core::Millis now) -> void;

  [[nodiscard]] auto Plan(core::Millis now) -> std::vector<Action>;

  /// Describes why a job waits, with numbers.
  [[nodiscard]] auto Explain(const std::string& job, core::Millis now) const
      -> std::string;

  /// @return the state behind the decisions, for checks and metrics.
  [[nodiscard]] auto state() const -> const PlannerState& { return *state_; }

 private:
  auto Cordon(const std::string& worker, const std::string& reason) -> void;

  auto Refuse(const std::string& job, const std::string& reason) -> void;

  std::unique_ptr<PlannerState> state_;
  /// Refusals and cordons that the next Plan() returns.
  std::vector<Action> pending_actions_;
  /// Reasons of quarantined jobs.
  std::map<std::string, std::string> quarantined_;
  /// Usability that the driver reported, by worker.
  std::map<std::string, bool> reported_usable_;
};

}  // namespace kcm::schedule
