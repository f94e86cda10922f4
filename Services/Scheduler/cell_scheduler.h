#pragma once

#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/node.h"
#include "LibSchedule/planner.h"
#include "gang_runner.h"
#include "term_keeper.h"
#include "worker_directory.h"

namespace kcm::scheduler {

/// Schedules the jobs of one cell, a data centre as the unit of scheduling,
/// while this process holds its term. It runs periodically on the event loop;
/// the tasks of jobs run on workers.
///
/// The planner receives every change that a record of the log made and decides;
/// the runner executes its decisions. A new term rebuilds both from the state.
class CellScheduler {
 public:
  CellScheduler(node::Node& node,
                node::Heartbeats& heartbeats,
                const node::LogFollower& follower,
                WorkerDirectory& workers,
                std::string data_centre);

  /// Gives up the term at the next pass and claims no other.
  auto Resign() -> void { term_.Resign(); }

  /// @return why a job waits; empty when this process is not the term holder.
  [[nodiscard]] auto Explain(const std::string& job) const -> std::string {
    return planner_ ? planner_->Explain(job, core::MonotonicNow()) : "";
  }

 private:
  [[nodiscard]] auto cell() const -> const state::CellFold&;

  auto RunPass() -> void;
  auto RenewLeases() -> void;
  auto OnApplied(const node::AppliedRecord& applied) -> void;
  /// Updates planner and runner with the current state of a job.
  /// @param bad_worker worker that failed the last attempt, or empty.
  auto UpdateJob(const state::Job& job, const std::string& bad_worker) -> void;
  /// Passes the client accounts' rows and the fleet on to the planner.
  auto UpdateTable() -> void;
  auto UpdateWorkers() -> void;
  auto StartTerm() -> void;
  auto EndTerm() -> void;
  auto ExecutePlan() -> void;
  auto ExecuteAction(const schedule::PlaceGang& action) -> void;
  auto ExecuteAction(const schedule::PreemptGang& action) -> void;
  auto ExecuteAction(const schedule::RefuseJob& action) -> void;
  auto ExecuteAction(const schedule::CordonWorker& action) -> void;

  node::Node& node_;
  WorkerDirectory& workers_;
  std::string data_centre_;
  std::string stream_;
  TermKeeper term_;
  GangRunner gangs_;
  /// Exists while this process holds the term.
  std::optional<schedule::Planner> planner_;
  std::int64_t planned_term_ = 0;
  std::map<std::string, bool> reported_usable_;
};

}  // namespace kcm::scheduler
