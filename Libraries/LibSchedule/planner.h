#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/action.h"
#include "LibSchedule/fleet_model.h"
#include "LibSchedule/policy_settings.h"
#include "LibState/fleet.h"
#include "LibState/job.h"
#include "LibState/row.h"

namespace kcm::schedule {

/// Decides what runs where in one data centre.
///
/// The planner is pure: it holds no socket, clock or thread. Its task tells it
/// what happened, calls Plan() and carries out the actions. An action counts
/// as under way until the task reports its end: JobPlaced() or JobWaiting()
/// after PlaceGang, JobWaiting() or JobEnded() after PreemptGang.
class Planner {
 public:
  Planner(PolicySettings settings, std::string data_centre);

  /// Replaces the workers on record; placed gangs stay where they are.
  auto SetFleet(const state::Fleet& fleet) -> void;

  /// Replaces the table of weights, limits and guarantees.
  auto SetRows(const std::map<std::string, state::Row>& rows) -> void;

  /// Includes or excludes a worker: not listed, leaving, cordoned or silent.
  auto SetWorkerUsable(const std::string& worker, bool usable) -> void;

  /// A job waits for a placement: new, requeued, or its placement failed.
  auto JobWaiting(const state::Job& job, core::Millis now) -> void;

  /// A gang stands in the log as placed.
  auto JobPlaced(const state::Job& job, core::Millis now) -> void;

  /// A job left the cell. Done and failed attempts teach run times and which
  /// workers and jobs are bad.
  /// @param bad_worker the worker on which the task failed, if one did.
  auto JobEnded(const state::Job& job,
                const std::string& bad_worker,
                core::Millis now) -> void;

  /// Decides what to do now.
  [[nodiscard]] auto Plan(core::Millis now) -> std::vector<Action>;

  /// Says in words and figures why a job waits.
  [[nodiscard]] auto Explain(const std::string& job, core::Millis now) const
      -> std::string;

 private:
  struct Waiting {
    state::Job job;
    core::Millis since = 0;
    /// A PlaceGang for the job is under way.
    bool assembling = false;
    std::vector<state::Member> members;
  };

  PolicySettings settings_;
  std::string data_centre_;
  FleetModel fleet_;
  std::map<std::string, bool> usable_;
  std::map<std::string, Waiting> waiting_;
  std::map<std::string, state::Job> placed_;
};

}  // namespace kcm::schedule
