#pragma once

#include <list>
#include <map>

#include "LibSchedule/capacity_view.h"
#include "LibSchedule/worker_table.h"
#include "strategy.h"

namespace kcm::bench {

/// What sets the baselines apart.
struct BaselineRules {
  /// The tightest room instead of the first.
  bool best_fit = false;
  /// Jobs behind a blocked head may start.
  bool backfill = false;
};

/// A queue in order of arrival without guarantees or preemption.
class BaselineStrategy : public Strategy {
 public:
  BaselineStrategy(const Workload& workload, BaselineRules rules);

  auto Waiting(const state::Job& job, core::Millis now) -> void override;
  auto Placed(const state::Job& /*job*/, core::Millis /*now*/)
      -> void override {}
  auto Ended(const state::Job& job, core::Millis now) -> void override;
  auto Plan(core::Millis now) -> std::vector<schedule::Action> override;

 private:
  struct Running {
    state::Shape shape;
    schedule::Seats seats;
    std::vector<std::uint64_t> masks;
  };

  [[nodiscard]] auto Find(const state::Shape& shape) const
      -> std::optional<schedule::Seats>;
  auto Start(const state::Job& job, schedule::Seats seats)
      -> schedule::PlaceGang;

  BaselineRules rules_;
  schedule::WorkerTable table_;
  schedule::CapacityView free_;
  std::list<state::Job> queue_;
  std::map<std::string, Running> running_;
};

}  // namespace kcm::bench
