#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "LibSchedule/cell_model.h"

namespace kcm::schedule {

/// Capacity to free on some workers, and the cost of freeing it.
///
/// To evict is to assume in a plan that a gang (a victim) has ended. Whoever
/// uses the plan preempts the victims or waits for their end.
struct EvictionRequest {
  state::Shape shape;
  std::int64_t members = 0;
  /// Most that the members may use on a worker, even if the evictions free
  /// more.
  std::function<Capacity(WorkerIndex)> capacity_limit;
  /// @return the cost of evicting a gang, or nothing when it must stay.
  std::function<std::optional<double>(const Gang&)> cost_of;
  /// The plan costs as much as its most expensive victim, not the sum.
  bool by_max_cost = false;
};

/// A placement that is free once the victims have ended.
struct EvictionPlan {
  Placement placement;
  std::vector<Gang*> victims;
  double cost = 0;
};

/// Finds a cheap set of gangs whose eviction frees the shape on the workers.
[[nodiscard]] auto PlanEviction(const CellModel& model,
                                const std::vector<WorkerIndex>& workers,
                                const EvictionRequest& request)
    -> std::optional<EvictionPlan>;

/// Lists groups of workers where the whole shape fits in a view, tightest
/// first.
[[nodiscard]] auto CandidateGroups(const CellModel& model,
                                   const CapacityView& view,
                                   const state::Shape& shape)
    -> std::vector<std::vector<WorkerIndex>>;

/// Plans evictions for each candidate group of a view.
/// @return the cheapest plan.
[[nodiscard]] auto FindCheapestEviction(const CellModel& model,
                                        const CapacityView& view,
                                        const EvictionRequest& request)
    -> std::optional<EvictionPlan>;

}  // namespace kcm::schedule
