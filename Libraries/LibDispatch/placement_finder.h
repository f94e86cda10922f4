#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibDispatch/fleet_view.h"
#include "LibDispatch/job_spec.h"

namespace kcm::dispatch {

/// The tasks of one step to place, with their constraints.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  /// Pool of workers that may run the tasks.
  std::string service;
  /// Number of tasks to place.
  std::int64_t tasks = 0;
  /// Number of the step's tasks already placed, by worker.
  std::map<std::string, std::int64_t> placed;
  /// Workers on which the step failed or hung.
  std::set<std::string> avoid;
  /// Only workers that completed a run which began since then; zero for any.
  core::Millis proven_since = 0;
  /// Only workers that keep a task apart at least so far.
  Isolation isolation = Isolation::kNone;
  core::Millis now = 0;
  /// The usual run time.
  core::Millis run_ms = 0;
  /// The run time that few runs exceed. Tasks use reserved capacity only if
  /// they would end sooner even then.
  core::Millis backfill_ms = 0;
  /// The tasks run under a guarantee and may evict any run that does not.
  bool guaranteed = false;
  /// Tasks without a guarantee evict only runs of a lower priority.
  std::int64_t priority = 0;
};

/// Index of the worker of each placed task.
using Placement = std::vector<std::size_t>;

/// Earliest placement of tasks that do not fit now.
struct FuturePlacement {
  Placement placement;
  core::Millis at = 0;
};

/// Runs to evict, the resulting placement and the lost work.
struct EvictionPlan {
  std::vector<TaskId> victims;
  Placement placement;
  double loss = 0;
};

/// Places tasks on capacity that is free now, by best fit.
/// @return a placement of all tasks of a gang or none; for other steps of as
///     many tasks as fit.
[[nodiscard]] auto FindPlacement(const FleetView& fleet,
                                 const PlacementRequest& request) -> Placement;

/// Like FindPlacement(), once the runs being stopped are gone.
[[nodiscard]] auto FindPlacementAfterStops(const FleetView& fleet,
                                           const PlacementRequest& request)
    -> Placement;

/// For tasks that do not fit now, finds the earliest time at which enough runs
/// are expected to have ended, and the placement at that time.
[[nodiscard]] auto FindFuturePlacement(const FleetView& fleet,
                                       const PlacementRequest& request)
    -> std::optional<FuturePlacement>;

/// Finds the runs whose eviction frees enough capacity at the least loss of
/// work.
[[nodiscard]] auto FindEvictions(const FleetView& fleet,
                                 const PlacementRequest& request)
    -> std::optional<EvictionPlan>;

/// Numbers of workers and tasks that show why a step waits.
struct WaitReport {
  /// Workers that may run the tasks, whatever else they run.
  std::int64_t eligible = 0;
  /// Tasks that these hold when empty, and now.
  std::int64_t fit_empty = 0;
  std::int64_t fit_now = 0;
  /// The same for the rack that holds the most.
  std::int64_t fit_rack_empty = 0;
  std::int64_t fit_rack_now = 0;
};

/// Counts where the tasks of a request fit, regardless of the racks that they
/// prefer.
[[nodiscard]] auto CountWhereFits(const FleetView& fleet,
                                  const PlacementRequest& request)
    -> WaitReport;

/// @return the share of a pool's capacity that is in use, in cores, for which
///     an accelerator counts as several.
[[nodiscard]] auto ShareInUse(const FleetView& fleet,
                              const std::string& service) -> double;

/// @return whether the tasks would fit if the workers had no runs: all of a
///     gang, or at least one otherwise.
[[nodiscard]] auto CanEverFit(const FleetView& fleet,
                              const PlacementRequest& request) -> bool;

}  // namespace kcm::dispatch
