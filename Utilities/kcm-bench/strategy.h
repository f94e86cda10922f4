#pragma once

#include <memory>
#include <string>
#include <vector>

#include "LibSchedule/action.h"
#include "LibState/job.h"
#include "workload.h"

namespace kcm::bench {

/// A placement policy under test.
class Strategy {
 public:
  Strategy() = default;
  Strategy(const Strategy&) = delete;
  auto operator=(const Strategy&) -> Strategy& = delete;
  virtual ~Strategy() = default;

  virtual auto JobWaiting(const state::Job& job, core::Millis now) -> void = 0;
  virtual auto JobPlaced(const state::Job& job, core::Millis now) -> void = 0;
  virtual auto JobEnded(const state::Job& job, core::Millis now) -> void = 0;
  virtual auto Plan(core::Millis now) -> std::vector<schedule::Action> = 0;
};

/// @return names of all strategies, the planner's first.
[[nodiscard]] auto StrategyNames() -> const std::vector<std::string>&;

[[nodiscard]] auto MakeStrategy(const std::string& name,
                                const Workload& workload)
    -> std::unique_ptr<Strategy>;

}  // namespace kcm::bench
