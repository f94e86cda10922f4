#include "planner_strategy.h"

namespace kcm::bench {

PlannerStrategy::PlannerStrategy(const Workload& workload)
    : planner_(workload.settings, "a") {
  planner_.SetFleet(workload.fleet);
  planner_.SetRows(workload.rows);
}

}  // namespace kcm::bench
