#pragma once

#include <list>
#include <map>

#include "LibSchedule/capacity_view.h"
#include "LibSchedule/worker_table.h"
#include "strategy.h"

namespace kcm::bench {

/// Rules in which the baselines differ.
struct BaselineRules {
  /// Best fit instead of first fit.
  bool best_fit = false;
  /// Jobs behind a blocked head of the queue may start.
  bool backfill = false;
};

/// FIFO queue without preemption; ignores the accounts' guaranteed capacity.
class BaselineStrategy : public Strategy {
 public:
  BaselineStrategy(const Workload& workload, BaselineRules rules);

  auto JobWaiting(const state::Job& job, core::Millis now) -> void override;
  auto JobPlaced(const state::Job& /*job*/, core::Millis /*now*/)
      -> void override {}
  auto JobEnded(const state::Job& job, core::Millis now) -> void override;
  auto Plan(core::Millis now) -> std::vector<schedule::Action> override;

 private:
  struct RunningGang {
    state::Shape shape;
    schedule::Placement placement;
    std::vector<std::uint64_t> masks;
  };

  [[nodiscard]] auto FindPlacement(const state::Shape& shape) const
      -> std::optional<schedule::Placement>;
  auto PlaceJob(const state::Job& job, schedule::Placement placement)
      -> schedule::PlaceGang;

  BaselineRules rules_;
  schedule::WorkerTable table_;
  schedule::CapacityView free_;
  std::list<state::Job> queue_;
  std::map<std::string, RunningGang> running_;
};

}  // namespace kcm::bench
