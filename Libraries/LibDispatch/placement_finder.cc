#include "LibDispatch/placement_finder.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace kcm::dispatch {

namespace {

/// An eligible worker and the number of tasks that fit on it.
struct Candidate {
  std::size_t worker = 0;
  std::int64_t copies = 0;
  Resources free;
};

struct WorkerRange {
  std::size_t first = 0;
  std::size_t last = 0;
};

auto HasLabel(const WorkerInfo& info, const std::string& label) -> bool {
  return label.empty() || std::find(info.labels.begin(), info.labels.end(),
                                    label) != info.labels.end();
}

auto IsEligible(const WorkerView& worker, const PlacementRequest& request)
    -> bool {
  return worker.info->service == request.service &&
         HasLabel(*worker.info, request.step->required_label) &&
         worker.proven_at >= request.proven_since && !worker.is_closed &&
         worker.isolation >= request.isolation &&
         !request.avoid.contains(worker.info->id);
}

auto TasksThatFit(const WorkerView& worker,
                  const Resources& free,
                  const PlacementRequest& request) -> std::int64_t {
  auto copies = CopiesThatFit(free, request.step->demand);
  if (request.step->max_per_worker > 0) {
    const auto placed = request.placed.find(worker.info->id);
    const auto taken = placed == request.placed.end() ? 0 : placed->second;
    copies = std::min(copies, request.step->max_per_worker - taken);
  }
  return std::clamp<std::int64_t>(copies, 0, request.tasks);
}

/// Fills the workers with the least free capacity first, so that whole workers
/// stay free.
/// @return a placement of as many tasks as fit.
template <typename CapacityFunction>
auto FillRange(const FleetView& fleet,
               const PlacementRequest& request,
               WorkerRange range,
               const CapacityFunction& capacity_of) -> Placement {
  fleet.CountWorkers(range.last - range.first);
  std::vector<Candidate> candidates;
  for (auto index = range.first; index < range.last; ++index) {
    const auto& worker = fleet.workers[index];
    if (!IsEligible(worker, request)) {
      continue;
    }
    const auto free = capacity_of(worker);
    if (const auto copies = TasksThatFit(worker, free, request); copies > 0) {
      candidates.push_back({index, copies, free});
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) {
        return std::pair(left.free.accelerators, left.free.millicores) <
               std::pair(right.free.accelerators, right.free.millicores);
      });
  Placement placement;
  for (const auto& candidate : candidates) {
    for (std::int64_t copy = 0; copy < candidate.copies; ++copy) {
      if (static_cast<std::int64_t>(placement.size()) == request.tasks) {
        return placement;
      }
      placement.push_back(candidate.worker);
    }
  }
  return placement;
}

auto IsComplete(const Placement& placement, const PlacementRequest& request)
    -> bool {
  return static_cast<std::int64_t>(placement.size()) == request.tasks;
}

template <typename CapacityFunction>
auto FreeAccelerators(const FleetView& fleet,
                      WorkerRange range,
                      const CapacityFunction& capacity_of) -> std::int64_t {
  return std::accumulate(
      fleet.workers.begin() + static_cast<std::ptrdiff_t>(range.first),
      fleet.workers.begin() + static_cast<std::ptrdiff_t>(range.last),
      std::int64_t{0}, [&](std::int64_t sum, const WorkerView& worker) {
        return sum + capacity_of(worker).accelerators;
      });
}

auto IsRack(const FleetView& fleet, WorkerRange range, const std::string& rack)
    -> bool {
  return fleet.workers[range.first].info->rack == rack;
}

/// Places all tasks in the fitting rack with the least free accelerators.
template <typename CapacityFunction>
auto FillOneRack(const FleetView& fleet,
                 const PlacementRequest& request,
                 const CapacityFunction& capacity_of) -> Placement {
  Placement best;
  auto least_free = std::numeric_limits<std::int64_t>::max();
  for (const auto& [first, last] : fleet.racks) {
    const WorkerRange range{first, last};
    auto placement = FillRange(fleet, request, range, capacity_of);
    if (!IsComplete(placement, request)) {
      continue;
    }
    const auto free = FreeAccelerators(fleet, range, capacity_of);
    if (best.empty() || free < least_free) {
      least_free = free;
      best = std::move(placement);
    }
  }
  return best;
}

auto WholeFleet(const FleetView& fleet) -> WorkerRange {
  return {0, fleet.workers.size()};
}

auto CapacityOf(const WorkerView& worker) -> Resources {
  return worker.info->capacity;
}

/// @return the rack that holds the step's data, if it is in the fleet and
///     could hold a task when empty.
auto DataRackOf(const FleetView& fleet, const PlacementRequest& request)
    -> std::optional<WorkerRange> {
  if (request.step->data_rack.empty()) {
    return std::nullopt;
  }
  for (const auto& [first, last] : fleet.racks) {
    const WorkerRange range{first, last};
    if (IsRack(fleet, range, request.step->data_rack) &&
        !FillRange(fleet, request, range, CapacityOf).empty()) {
      return range;
    }
  }
  return std::nullopt;
}

/// @return whether some rack could hold all tasks when empty.
auto OneRackCanHold(const FleetView& fleet, const PlacementRequest& request)
    -> bool {
  return !FillOneRack(fleet, request, CapacityOf).empty();
}

template <typename CapacityFunction>
auto FindWithCapacity(const FleetView& fleet,
                      const PlacementRequest& request,
                      const CapacityFunction& capacity_of) -> Placement {
  auto range = WholeFleet(fleet);
  if (const auto rack = DataRackOf(fleet, request)) {
    const auto whole =
        IsComplete(FillRange(fleet, request, *rack, CapacityOf), request);
    range = whole || !request.step->gang ? *rack : range;
  }
  const auto is_whole_fleet = range.last - range.first == fleet.workers.size();
  if (is_whole_fleet && request.step->same_rack &&
      OneRackCanHold(fleet, request)) {
    return FillOneRack(fleet, request, capacity_of);
  }
  auto placement = FillRange(fleet, request, range, capacity_of);
  if (request.step->gang && !IsComplete(placement, request)) {
    return {};
  }
  return placement;
}

/// The time from which a worker has capacity for another task of the step.
struct Opening {
  core::Millis at = 0;
  std::size_t worker = 0;
};

auto OpeningsOf(const WorkerView& worker,
                std::size_t index,
                const PlacementRequest& request) -> std::vector<Opening> {
  std::vector<Opening> openings;
  if (!IsEligible(worker, request)) {
    return openings;
  }
  auto free = worker.free;
  free -= worker.reserved;
  auto runs = worker.runs;
  std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
    return left.expected_end < right.expected_end;
  });
  std::int64_t open = 0;
  const auto extend = [&](core::Millis at) {
    for (const auto copies = TasksThatFit(worker, free, request); open < copies;
         ++open) {
      openings.push_back({at, index});
    }
  };
  extend(request.now);
  for (const auto& run : runs) {
    free += run.demand;
    extend(std::max(run.expected_end, request.now));
  }
  return openings;
}

auto FindFutureInRange(const FleetView& fleet,
                       const PlacementRequest& request,
                       WorkerRange range) -> std::optional<FuturePlacement> {
  fleet.CountWorkers(range.last - range.first);
  std::vector<Opening> openings;
  for (auto index = range.first; index < range.last; ++index) {
    fleet.CountRuns(fleet.workers[index].runs.size());
    const auto more = OpeningsOf(fleet.workers[index], index, request);
    openings.insert(openings.end(), more.begin(), more.end());
  }
  const auto wanted = static_cast<std::size_t>(request.tasks);
  if (openings.size() < wanted || wanted == 0) {
    return std::nullopt;
  }
  std::stable_sort(
      openings.begin(), openings.end(),
      [](const auto& left, const auto& right) { return left.at < right.at; });
  FuturePlacement future;
  future.at = openings[wanted - 1].at;
  for (std::size_t index = 0; index < wanted; ++index) {
    future.placement.push_back(openings[index].worker);
  }
  return future;
}

auto MayEvict(const PlacementRequest& request, const RunView& run) -> bool {
  return !run.stopping && !run.guaranteed &&
         (request.guaranteed || run.priority > request.priority);
}

/// Runs on one worker whose eviction frees capacity for one more task.
struct Eviction {
  std::vector<std::size_t> runs;
  double loss = 0;
};

/// Chooses the runs to evict on one worker.
struct VictimSelector {
  const WorkerView* worker = nullptr;
  std::size_t index = 0;
  Resources free;
  std::vector<bool> evicted;
  std::int64_t placed = 0;

  [[nodiscard]] auto NextEviction(const PlacementRequest& request) const
      -> std::optional<Eviction> {
    if (TasksThatFit(*worker, worker->info->capacity, request) <= placed) {
      return std::nullopt;
    }
    std::vector<std::size_t> order;
    for (std::size_t run = 0; run < worker->runs.size(); ++run) {
      if (MayEvict(request, worker->runs[run]) && !evicted[run]) {
        order.push_back(run);
      }
    }
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
      return worker->runs[left].loss < worker->runs[right].loss;
    });
    Eviction eviction;
    auto available = free;
    for (const auto run : order) {
      if (Fits(available, request.step->demand)) {
        break;
      }
      available += worker->runs[run].demand;
      eviction.runs.push_back(run);
      eviction.loss += worker->runs[run].loss;
    }
    if (!Fits(available, request.step->demand)) {
      return std::nullopt;
    }
    return eviction;
  }

  auto Commit(const Eviction& eviction,
              const PlacementRequest& request,
              EvictionPlan& plan) -> void {
    for (const auto run : eviction.runs) {
      evicted[run] = true;
      free += worker->runs[run].demand;
      plan.victims.push_back(worker->runs[run].task);
    }
    free -= request.step->demand;
    ++placed;
    plan.placement.push_back(index);
    plan.loss += eviction.loss;
  }
};

auto FindEvictionsInRange(const FleetView& fleet,
                          const PlacementRequest& request,
                          WorkerRange range) -> std::optional<EvictionPlan> {
  std::vector<VictimSelector> selectors;
  for (auto index = range.first; index < range.last; ++index) {
    const auto& worker = fleet.workers[index];
    if (IsEligible(worker, request)) {
      auto free = worker.free;
      free += worker.stopping;
      free -= worker.reserved;
      selectors.push_back(
          {&worker, index, free, std::vector<bool>(worker.runs.size()), 0});
    }
  }
  // Placing a task changes the next eviction of its worker only.
  std::vector<std::optional<Eviction>> evictions;
  const auto next_eviction = [&](const VictimSelector& selector) {
    fleet.CountWorkers(1);
    fleet.CountRuns(selector.worker->runs.size());
    return selector.NextEviction(request);
  };
  evictions.reserve(selectors.size());
  for (const auto& selector : selectors) {
    evictions.push_back(next_eviction(selector));
  }
  EvictionPlan plan;
  for (std::int64_t task = 0; task < request.tasks; ++task) {
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < evictions.size(); ++index) {
      if (evictions[index] &&
          (!best || evictions[index]->loss < evictions[*best]->loss)) {
        best = index;
      }
    }
    if (!best) {
      return std::nullopt;
    }
    selectors[*best].Commit(*evictions[*best], request, plan);
    evictions[*best] = next_eviction(selectors[*best]);
  }
  return plan;
}

/// Applies a search to each rack that the step may use, or to the whole fleet.
template <typename Search>
auto SearchRanges(const FleetView& fleet,
                  const PlacementRequest& request,
                  const Search& search) -> void {
  const auto rack = DataRackOf(fleet, request);
  if (rack &&
      (!request.step->gang ||
       IsComplete(FillRange(fleet, request, *rack, CapacityOf), request))) {
    search(*rack);
    return;
  }
  if (!request.step->same_rack || !OneRackCanHold(fleet, request)) {
    search(WholeFleet(fleet));
    return;
  }
  for (const auto& [first, last] : fleet.racks) {
    search(WorkerRange{first, last});
  }
}

}  // namespace

auto FindPlacement(const FleetView& fleet, const PlacementRequest& request)
    -> Placement {
  return FindWithCapacity(fleet, request, [&](const WorkerView& worker) {
    return worker.FreeCapacityFor(request.now, request.backfill_ms);
  });
}

auto FindPlacementAfterStops(const FleetView& fleet,
                             const PlacementRequest& request) -> Placement {
  return FindWithCapacity(fleet, request, [](const WorkerView& worker) {
    auto free = worker.free;
    free += worker.stopping;
    free -= worker.reserved;
    return free;
  });
}

auto FindFuturePlacement(const FleetView& fleet,
                         const PlacementRequest& request)
    -> std::optional<FuturePlacement> {
  std::optional<FuturePlacement> best;
  SearchRanges(fleet, request, [&](WorkerRange range) {
    auto future = FindFutureInRange(fleet, request, range);
    if (future && (!best || future->at < best->at)) {
      best = std::move(future);
    }
  });
  return best;
}

auto FindEvictions(const FleetView& fleet, const PlacementRequest& request)
    -> std::optional<EvictionPlan> {
  std::optional<EvictionPlan> best;
  SearchRanges(fleet, request, [&](WorkerRange range) {
    auto plan = FindEvictionsInRange(fleet, request, range);
    if (plan && (!best || plan->loss < best->loss)) {
      best = std::move(plan);
    }
  });
  return best;
}

auto CountWhereFits(const FleetView& fleet, const PlacementRequest& request)
    -> WaitReport {
  const auto free_now = [&](const WorkerView& worker) {
    return worker.FreeCapacityFor(request.now, request.backfill_ms);
  };
  const auto count = [&](WorkerRange range, const auto& capacity_of) {
    return static_cast<std::int64_t>(
        FillRange(fleet, request, range, capacity_of).size());
  };
  WaitReport report;
  report.eligible = std::count_if(
      fleet.workers.begin(), fleet.workers.end(),
      [&](const WorkerView& worker) { return IsEligible(worker, request); });
  report.fit_empty = count(WholeFleet(fleet), CapacityOf);
  report.fit_now = count(WholeFleet(fleet), free_now);
  for (const auto& [first, last] : fleet.racks) {
    const WorkerRange range{first, last};
    report.fit_rack_empty =
        std::max(report.fit_rack_empty, count(range, CapacityOf));
    report.fit_rack_now = std::max(report.fit_rack_now, count(range, free_now));
  }
  return report;
}

auto ShareInUse(const FleetView& fleet, const std::string& service) -> double {
  fleet.CountWorkers(fleet.workers.size());
  double capacity = 0;
  double free = 0;
  for (const auto& worker : fleet.workers) {
    if (worker.info->service == service) {
      capacity += CoresOf(worker.info->capacity);
      free += CoresOf(worker.free);
    }
  }
  return capacity > 0 ? 1 - free / capacity : 0;
}

auto CanEverFit(const FleetView& fleet, const PlacementRequest& request)
    -> bool {
  return !FindWithCapacity(fleet, request, CapacityOf).empty();
}

}  // namespace kcm::dispatch
