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

/// Schedules the jobs of one data centre while this process holds its term.
///
/// The planner hears of every folded record and decides; the runner carries
/// its decisions out. Taking a term rebuilds both from the fold.
class CellTask {
 public:
  CellTask(node::Node& node,
           node::Heartbeats& heartbeats,
           const node::LogFollower& follower,
           WorkerDirectory& workers,
           std::string data_centre);

  /// Gives up the term at the next opportunity and claims no other.
  auto Resign() -> void { term_.Resign(); }

  /// @return why a job waits; empty when this process does not lead.
  [[nodiscard]] auto Explain(const std::string& job) const -> std::string {
    return planner_ ? planner_->Explain(job, core::MonotonicNow()) : "";
  }

 private:
  [[nodiscard]] auto cell() const -> const state::CellFold&;

  auto Tick() -> void;
  auto Renew() -> void;
  auto OnApplied(const node::AppliedRecord& applied) -> void;
  /// Tells planner and runner where a job stands now.
  auto FeedJob(const state::Job& job, const std::string& bad_worker) -> void;
  auto FeedTable() -> void;
  auto FeedWorkers() -> void;
  auto TakeOver() -> void;
  auto GiveUp() -> void;
  auto Plan() -> void;
  auto Do(const schedule::PlaceGang& action) -> void;
  auto Do(const schedule::PreemptGang& action) -> void;
  auto Do(const schedule::RefuseJob& action) -> void;
  auto Do(const schedule::CordonWorker& action) -> void;

  node::Node& node_;
  WorkerDirectory& workers_;
  std::string data_centre_;
  std::string stream_;
  TermKeeper term_;
  GangRunner gangs_;
  /// Lives while this process leads.
  std::optional<schedule::Planner> planner_;
  std::int64_t planned_term_ = 0;
  std::map<std::string, bool> fed_usable_;
};

}  // namespace kcm::scheduler
