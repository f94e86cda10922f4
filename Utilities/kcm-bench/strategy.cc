#include "strategy.h"

#include "baseline_strategy.h"
#include "planner_strategy.h"

namespace kcm::bench {

auto StrategyNames() -> const std::vector<std::string>& {
  static const std::vector<std::string> names = {"ours", "first-fit",
                                                 "best-fit", "backfill"};
  return names;
}

auto MakeStrategy(const std::string& name, const Workload& workload)
    -> std::unique_ptr<Strategy> {
  if (name == "ours") {
    return std::make_unique<PlannerStrategy>(workload);
  }
  return std::make_unique<BaselineStrategy>(
      workload, BaselineRules{name != "first-fit", name == "backfill"});
}

}  // namespace kcm::bench
