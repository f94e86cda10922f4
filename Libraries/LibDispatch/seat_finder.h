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

/// What tasks of one step ask for.
struct SeatRequest {
  const StepSpec* step = nullptr;
  std::string service;
  /// Tasks to seat.
  std::int64_t tasks = 0;
  /// Tasks of the step that already sit on a worker, by worker.
  std::map<std::string, std::int64_t> seated;
  /// Workers on which the tasks failed before.
  std::set<std::string> avoid;
  core::Millis now = 0;
  core::Millis run_ms = 0;
  /// The tasks are owed to their account and may evict all that is not.
  bool guaranteed = false;
  /// Priority of the tasks; others evict what comes behind them only.
  std::int64_t priority = 0;
};

/// Slot of each task that was seated.
using Seats = std::vector<std::size_t>;

/// Where a gang that waits would fit first, and when.
struct FutureSeats {
  Seats seats;
  core::Millis at = 0;
};

/// What eviction would cost.
struct EvictionPlan {
  std::vector<TaskId> victims;
  Seats seats;
  double loss = 0;
};

/// Seats tasks on what is free now, the tightest room first.
/// @return a seat for each task of a gang or nothing; for other steps seats
///     for as many tasks as fit.
[[nodiscard]] auto FindSeats(const FleetView& fleet, const SeatRequest& request)
    -> Seats;

/// @return whether a gang fits once the runs being stopped are gone.
[[nodiscard]] auto FindSeatsAfterStops(const FleetView& fleet,
                                       const SeatRequest& request) -> Seats;

/// Finds where a gang that does not fit now fits first as runs end.
[[nodiscard]] auto FindFutureSeats(const FleetView& fleet,
                                   const SeatRequest& request)
    -> std::optional<FutureSeats>;

/// Finds the runs whose eviction makes room at the least loss of work.
[[nodiscard]] auto FindEvictions(const FleetView& fleet,
                                 const SeatRequest& request)
    -> std::optional<EvictionPlan>;

/// @return whether an empty fleet holds all tasks of the step at once.
[[nodiscard]] auto CanEverFit(const FleetView& fleet,
                              const SeatRequest& request) -> bool;

}  // namespace kcm::dispatch
