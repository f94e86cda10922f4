#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "LibSchedule/planner.h"
#include "LibSchedule/planner_state.h"
#include "LibSchedule/reclaim_check.h"

namespace kcm::schedule {

/// Time between two planning passes.
inline constexpr core::Millis kTick = 100;

/// @return a fleet with workers w<rack>-<n> of 8 accelerators each.
inline auto FleetOf(int racks, int workers) -> state::Fleet {
  state::Fleet fleet;
  for (int rack = 0; rack < racks; ++rack) {
    for (int worker = 0; worker < workers; ++worker) {
      const auto name = std::to_string(rack) + "-" + std::to_string(worker);
      fleet.workers.push_back({"w" + name, "a",
                               "rack-" + std::to_string(100 + rack), 32, 131072,
                               8});
    }
  }
  return fleet;
}

inline auto ShapeOf(std::int64_t members,
                    std::int64_t accelerators,
                    state::Adjacency adjacency = state::Adjacency::kSameRack)
    -> state::Shape {
  return {members, accelerators, 1, 1024, adjacency};
}

inline auto RowOf(const std::string& account,
                  const std::vector<state::Shape>& guarantees,
                  bool may_borrow = true) -> state::AccountRow {
  state::AccountRow row;
  row.account = account;
  row.accelerators = 100000;
  row.urgent_accelerators = 64;
  row.may_borrow = may_borrow;
  for (const auto& shape : guarantees) {
    row.guarantees.push_back({"a", 1, shape});
  }
  return row;
}

/// Drives a planner and simulates the task that carries out its actions.
class CellDriver {
 public:
  explicit CellDriver(PolicySettings settings = {}) : planner(settings, "a") {}

  auto SetRows(const std::vector<state::AccountRow>& rows) -> void {
    std::map<std::string, state::AccountRow> table;
    for (const auto& row : rows) {
      table[row.account] = row;
    }
    planner.SetRows(table);
  }

  auto Submit(const std::string& id,
              const std::string& account,
              const state::Shape& shape,
              state::Recovery recovery,
              core::Millis declared = 1000,
              bool urgent = false) -> void {
    auto& job = jobs[id];
    job.id = id;
    job.spec.account = account;
    job.spec.data_centre = "a";
    job.spec.shape = shape;
    job.spec.recovery = recovery;
    job.spec.declared_run_ms = declared;
    job.spec.urgent = urgent;
    planner.JobWaiting(job, now);
  }

  /// Plans and records the actions.
  /// @param confirm confirms placements too.
  auto Plan(bool confirm = true) -> std::vector<Action> {
    auto actions = planner.Plan(now);
    planned_ = true;
    for (const auto& action : actions) {
      if (const auto* place = std::get_if<PlaceGang>(&action)) {
        duplicated_action |=
            !attempts.insert({place->job, place->attempt}).second;
        duplicated_action |=
            assembling.contains(place->job) || running.contains(place->job);
        assembling[place->job] = *place;
      } else if (const auto* preempt = std::get_if<PreemptGang>(&action)) {
        duplicated_action |= !preempting.insert(preempt->job).second;
      } else if (const auto* refuse = std::get_if<RefuseJob>(&action)) {
        refused[refuse->job] = refuse->reason;
      } else if (const auto* cordon = std::get_if<CordonWorker>(&action)) {
        cordoned.insert(cordon->worker);
      }
    }
    if (confirm) {
      ConfirmAll();
    }
    return actions;
  }

  auto Confirm(const std::string& id) -> void {
    auto& job = jobs[id];
    job.attempt = assembling[id].attempt;
    job.members = assembling[id].members;
    job.status = state::JobStatus::kPlaced;
    planned_ = false;
    assembling.erase(id);
    running.insert(id);
    planner.JobPlaced(job, now);
  }

  auto ConfirmAll() -> void {
    while (!assembling.empty()) {
      Confirm(std::string(assembling.begin()->first));
    }
  }

  /// Ends a placement or a running attempt without an outcome.
  auto Requeue(const std::string& id) -> void {
    auto& job = jobs[id];
    if (const auto found = assembling.find(id); found != assembling.end()) {
      // The attempt number was never committed; the next one uses it again.
      attempts.erase({id, found->second.attempt});
      assembling.erase(found);
    }
    running.erase(id);
    preempting.erase(id);
    job.members.clear();
    job.status = state::JobStatus::kAccepted;
    planner.JobWaiting(job, now);
  }

  auto End(const std::string& id,
           state::JobStatus status = state::JobStatus::kDone,
           const std::string& bad_worker = "") -> void {
    auto& job = jobs[id];
    job.status = status;
    assembling.erase(id);
    running.erase(id);
    preempting.erase(id);
    planner.JobEnded(job, bad_worker, now);
    jobs.erase(id);
  }

  /// @return the violated invariant, or an empty text.
  [[nodiscard]] auto FindViolation() const -> std::string {
    if (duplicated_action) {
      return "an action was emitted twice";
    }
    for (const auto& [id, gang] : planner.state().gangs) {
      if (planned_ && gang.preempting && gang.placed &&
          !preempting.contains(id)) {
        return id + " is marked preempting without a PreemptGang";
      }
    }
    if (const auto violation = CheckReclaimable(planner.state())) {
      return *violation;
    }
    return CheckGangs(planner.state()).value_or("");
  }

  Planner planner;
  core::Millis now = 1000;
  std::map<std::string, state::Job> jobs;
  std::map<std::string, PlaceGang> assembling;
  std::set<std::string> running;
  std::set<std::string> preempting;
  std::map<std::string, std::string> refused;
  std::set<std::string> cordoned;
  std::set<std::pair<std::string, std::int64_t>> attempts;
  bool duplicated_action = false;

 private:
  /// Plan() was called since the last confirmation.
  bool planned_ = false;
};

}  // namespace kcm::schedule
