#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "LibSchedule/cell_model.h"

namespace kcm::schedule {

/// What must be opened among some workers, and at what price.
struct EvictionRequest {
  state::Shape shape;
  std::int64_t members = 0;
  /// Most that may be used on a worker once the victims are gone.
  std::function<Capacity(WorkerIndex)> ceiling;
  /// @return the price of a gang's end, or nothing when it must stay.
  std::function<std::optional<double>(const Gang&)> price;
  /// The plan costs its dearest victim instead of the sum of all.
  bool by_dearest = false;
};

/// Seats that are free once the victims have ended.
struct EvictionPlan {
  Seats seats;
  std::vector<Gang*> victims;
  double cost = 0;
};

/// Finds a cheap set of gangs whose end opens the shape among the workers.
[[nodiscard]] auto PlanEviction(const CellModel& model,
                                const std::vector<WorkerIndex>& workers,
                                const EvictionRequest& request)
    -> std::optional<EvictionPlan>;

/// Lists groups of workers that have room for the whole shape in a view,
/// tightest first.
[[nodiscard]] auto CandidateGroups(const CellModel& model,
                                   const CapacityView& view,
                                   const state::Shape& shape)
    -> std::vector<std::vector<WorkerIndex>>;

/// Plans over all candidate groups of a view.
/// @return the cheapest plan.
[[nodiscard]] auto CheapestEviction(const CellModel& model,
                                    const CapacityView& view,
                                    const EvictionRequest& request)
    -> std::optional<EvictionPlan>;

}  // namespace kcm::schedule
