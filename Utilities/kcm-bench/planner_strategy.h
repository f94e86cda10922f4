#pragma once

#include "LibSchedule/planner.h"
#include "strategy.h"

namespace kcm::bench {

/// The project's planner.
class PlannerStrategy : public Strategy {
 public:
  explicit PlannerStrategy(const Workload& workload);

  auto JobWaiting(const state::Job& job, core::Millis now) -> void override {
    planner_.JobWaiting(job, now);
  }
  auto JobPlaced(const state::Job& job, core::Millis now) -> void override {
    planner_.JobPlaced(job, now);
  }
  auto JobEnded(const state::Job& job, core::Millis now) -> void override {
    planner_.JobEnded(job, "", now);
  }
  auto Plan(core::Millis now) -> std::vector<schedule::Action> override {
    return planner_.Plan(now);
  }

 private:
  schedule::Planner planner_;
};

}  // namespace kcm::bench
