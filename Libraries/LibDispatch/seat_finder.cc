#include "LibDispatch/seat_finder.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <utility>

namespace kcm::dispatch {

namespace {

/// Room of one slot, however a caller wants to count it.
using RoomOf = std::function<Resources(const WorkerSlot&)>;

/// A slot that may take tasks, with how many.
struct Candidate {
  std::size_t slot = 0;
  std::int64_t copies = 0;
  Resources room;
};

struct SlotRange {
  std::size_t first = 0;
  std::size_t last = 0;
};

auto HasLabel(const WorkerInfo& info, const std::string& label) -> bool {
  return label.empty() || std::find(info.labels.begin(), info.labels.end(),
                                    label) != info.labels.end();
}

auto MaySit(const WorkerSlot& slot, const SeatRequest& request) -> bool {
  return slot.info->service == request.service &&
         HasLabel(*slot.info, request.step->required_label) &&
         !request.avoid.contains(slot.info->id);
}

auto CopiesOn(const WorkerSlot& slot,
              const Resources& room,
              const SeatRequest& request) -> std::int64_t {
  auto copies = CopiesThatFit(room, request.step->demand);
  if (request.step->max_per_worker > 0) {
    const auto seated = request.seated.find(slot.info->id);
    const auto taken = seated == request.seated.end() ? 0 : seated->second;
    copies = std::min(copies, request.step->max_per_worker - taken);
  }
  return std::clamp<std::int64_t>(copies, 0, request.tasks);
}

/// Fills the tightest slots of a range first, so that whole workers stay free.
/// @return seats for as many tasks as fit.
auto FillRange(const FleetView& fleet,
               const SeatRequest& request,
               SlotRange range,
               const RoomOf& room_of) -> Seats {
  std::vector<Candidate> candidates;
  for (auto index = range.first; index < range.last; ++index) {
    const auto& slot = fleet.slots[index];
    if (!MaySit(slot, request)) {
      continue;
    }
    const auto room = room_of(slot);
    if (const auto copies = CopiesOn(slot, room, request); copies > 0) {
      candidates.push_back({index, copies, room});
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) {
        return std::pair(left.room.accelerators, left.room.millicores) <
               std::pair(right.room.accelerators, right.room.millicores);
      });
  Seats seats;
  for (const auto& candidate : candidates) {
    for (std::int64_t copy = 0; copy < candidate.copies; ++copy) {
      if (static_cast<std::int64_t>(seats.size()) == request.tasks) {
        return seats;
      }
      seats.push_back(candidate.slot);
    }
  }
  return seats;
}

auto IsWhole(const Seats& seats, const SeatRequest& request) -> bool {
  return static_cast<std::int64_t>(seats.size()) == request.tasks;
}

auto FreeAccelerators(const FleetView& fleet,
                      SlotRange range,
                      const RoomOf& room_of) -> std::int64_t {
  return std::accumulate(
      fleet.slots.begin() + static_cast<std::ptrdiff_t>(range.first),
      fleet.slots.begin() + static_cast<std::ptrdiff_t>(range.last),
      std::int64_t{0}, [&](std::int64_t sum, const WorkerSlot& slot) {
        return sum + room_of(slot).accelerators;
      });
}

auto IsRack(const FleetView& fleet, SlotRange range, const std::string& rack)
    -> bool {
  return fleet.slots[range.first].info->rack == rack;
}

/// Seats all tasks in the rack that holds them with the least room left.
auto FillOneRack(const FleetView& fleet,
                 const SeatRequest& request,
                 const RoomOf& room_of) -> Seats {
  Seats best;
  auto least_free = std::numeric_limits<std::int64_t>::max();
  for (const auto& [first, last] : fleet.racks) {
    const SlotRange range{first, last};
    auto seats = FillRange(fleet, request, range, room_of);
    if (!IsWhole(seats, request)) {
      continue;
    }
    const auto free = FreeAccelerators(fleet, range, room_of);
    if (best.empty() || free < least_free) {
      least_free = free;
      best = std::move(seats);
    }
  }
  return best;
}

auto WholeFleet(const FleetView& fleet) -> SlotRange {
  return {0, fleet.slots.size()};
}

auto CapacityOf(const WorkerSlot& slot) -> Resources {
  return slot.info->capacity;
}

/// @return the rack that the step's data ties it to, if it is in the fleet
///     and could hold a task.
auto DataRackOf(const FleetView& fleet, const SeatRequest& request)
    -> std::optional<SlotRange> {
  if (request.step->data_rack.empty()) {
    return std::nullopt;
  }
  for (const auto& [first, last] : fleet.racks) {
    const SlotRange range{first, last};
    if (IsRack(fleet, range, request.step->data_rack) &&
        !FillRange(fleet, request, range, CapacityOf).empty()) {
      return range;
    }
  }
  return std::nullopt;
}

/// @return whether some rack could hold all tasks if nothing else ran.
auto OneRackCanHold(const FleetView& fleet, const SeatRequest& request)
    -> bool {
  return !FillOneRack(fleet, request, CapacityOf).empty();
}

auto FindIn(const FleetView& fleet,
            const SeatRequest& request,
            const RoomOf& room_of) -> Seats {
  auto range = WholeFleet(fleet);
  if (const auto rack = DataRackOf(fleet, request)) {
    const auto whole =
        IsWhole(FillRange(fleet, request, *rack, CapacityOf), request);
    range = whole || !request.step->gang ? *rack : range;
  }
  const auto anywhere = range.last - range.first == fleet.slots.size();
  if (anywhere && request.step->same_rack && OneRackCanHold(fleet, request)) {
    return FillOneRack(fleet, request, room_of);
  }
  auto seats = FillRange(fleet, request, range, room_of);
  if (request.step->gang && !IsWhole(seats, request)) {
    return {};
  }
  return seats;
}

/// When a worker has room for another task of the step.
struct Opening {
  core::Millis at = 0;
  std::size_t slot = 0;
};

auto OpeningsOf(const WorkerSlot& slot,
                std::size_t index,
                const SeatRequest& request) -> std::vector<Opening> {
  std::vector<Opening> openings;
  if (!MaySit(slot, request)) {
    return openings;
  }
  auto room = slot.free;
  room -= slot.reserved;
  auto runs = slot.runs;
  std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
    return left.expected_end < right.expected_end;
  });
  std::int64_t open = 0;
  const auto extend = [&](core::Millis at) {
    for (const auto copies = CopiesOn(slot, room, request); open < copies;
         ++open) {
      openings.push_back({at, index});
    }
  };
  extend(request.now);
  for (const auto& run : runs) {
    room += run.demand;
    extend(std::max(run.expected_end, request.now));
  }
  return openings;
}

auto FutureIn(const FleetView& fleet,
              const SeatRequest& request,
              SlotRange range) -> std::optional<FutureSeats> {
  std::vector<Opening> openings;
  for (auto index = range.first; index < range.last; ++index) {
    const auto more = OpeningsOf(fleet.slots[index], index, request);
    openings.insert(openings.end(), more.begin(), more.end());
  }
  const auto wanted = static_cast<std::size_t>(request.tasks);
  if (openings.size() < wanted || wanted == 0) {
    return std::nullopt;
  }
  std::stable_sort(
      openings.begin(), openings.end(),
      [](const auto& left, const auto& right) { return left.at < right.at; });
  FutureSeats future;
  future.at = openings[wanted - 1].at;
  for (std::size_t index = 0; index < wanted; ++index) {
    future.seats.push_back(openings[index].slot);
  }
  return future;
}

auto MayEvict(const SeatRequest& request, const SeatedRun& run) -> bool {
  return !run.stopping && !run.guaranteed &&
         (request.guaranteed || run.priority > request.priority);
}

/// Victims on one worker that make room for one more task.
struct Eviction {
  std::vector<std::size_t> runs;
  double loss = 0;
};

/// The state of one worker while victims are chosen.
struct Evictor {
  const WorkerSlot* slot = nullptr;
  std::size_t index = 0;
  Resources room;
  std::vector<bool> gone;
  std::int64_t seated = 0;

  [[nodiscard]] auto Next(const SeatRequest& request) const
      -> std::optional<Eviction> {
    if (CopiesOn(*slot, slot->info->capacity, request) <= seated) {
      return std::nullopt;
    }
    std::vector<std::size_t> order;
    for (std::size_t run = 0; run < slot->runs.size(); ++run) {
      if (MayEvict(request, slot->runs[run]) && !gone[run]) {
        order.push_back(run);
      }
    }
    std::sort(order.begin(), order.end(), [&](auto left, auto right) {
      return slot->runs[left].loss < slot->runs[right].loss;
    });
    Eviction eviction;
    auto available = room;
    for (const auto run : order) {
      if (Fits(available, request.step->demand)) {
        break;
      }
      available += slot->runs[run].demand;
      eviction.runs.push_back(run);
      eviction.loss += slot->runs[run].loss;
    }
    if (!Fits(available, request.step->demand)) {
      return std::nullopt;
    }
    return eviction;
  }

  auto Take(const Eviction& eviction,
            const SeatRequest& request,
            EvictionPlan& plan) -> void {
    for (const auto run : eviction.runs) {
      gone[run] = true;
      room += slot->runs[run].demand;
      plan.victims.push_back(slot->runs[run].task);
    }
    room -= request.step->demand;
    ++seated;
    plan.seats.push_back(index);
    plan.loss += eviction.loss;
  }
};

auto EvictIn(const FleetView& fleet,
             const SeatRequest& request,
             SlotRange range) -> std::optional<EvictionPlan> {
  std::vector<Evictor> evictors;
  for (auto index = range.first; index < range.last; ++index) {
    const auto& slot = fleet.slots[index];
    if (MaySit(slot, request)) {
      auto room = slot.free;
      room += slot.stopping;
      room -= slot.reserved;
      evictors.push_back(
          {&slot, index, room, std::vector<bool>(slot.runs.size()), 0});
    }
  }
  EvictionPlan plan;
  for (std::int64_t task = 0; task < request.tasks; ++task) {
    Evictor* best = nullptr;
    std::optional<Eviction> cheapest;
    for (auto& evictor : evictors) {
      auto next = evictor.Next(request);
      if (next && (!cheapest || next->loss < cheapest->loss)) {
        cheapest = std::move(next);
        best = &evictor;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    best->Take(*cheapest, request, plan);
  }
  return plan;
}

/// Applies a search to each rack that the step may use, or to the fleet.
template <typename Search>
auto SearchRanges(const FleetView& fleet,
                  const SeatRequest& request,
                  const Search& search) -> void {
  const auto rack = DataRackOf(fleet, request);
  if (rack &&
      (!request.step->gang ||
       IsWhole(FillRange(fleet, request, *rack, CapacityOf), request))) {
    search(*rack);
    return;
  }
  if (!request.step->same_rack || !OneRackCanHold(fleet, request)) {
    search(WholeFleet(fleet));
    return;
  }
  for (const auto& [first, last] : fleet.racks) {
    search(SlotRange{first, last});
  }
}

}  // namespace

auto FindSeats(const FleetView& fleet, const SeatRequest& request) -> Seats {
  return FindIn(fleet, request, [&](const WorkerSlot& slot) {
    return slot.RoomFor(request.now, request.run_ms);
  });
}

auto FindSeatsAfterStops(const FleetView& fleet, const SeatRequest& request)
    -> Seats {
  return FindIn(fleet, request, [](const WorkerSlot& slot) {
    auto room = slot.free;
    room += slot.stopping;
    room -= slot.reserved;
    return room;
  });
}

auto FindFutureSeats(const FleetView& fleet, const SeatRequest& request)
    -> std::optional<FutureSeats> {
  std::optional<FutureSeats> best;
  SearchRanges(fleet, request, [&](SlotRange range) {
    auto future = FutureIn(fleet, request, range);
    if (future && (!best || future->at < best->at)) {
      best = std::move(future);
    }
  });
  return best;
}

auto FindEvictions(const FleetView& fleet, const SeatRequest& request)
    -> std::optional<EvictionPlan> {
  std::optional<EvictionPlan> best;
  SearchRanges(fleet, request, [&](SlotRange range) {
    auto plan = EvictIn(fleet, request, range);
    if (plan && (!best || plan->loss < best->loss)) {
      best = std::move(plan);
    }
  });
  return best;
}

auto CanEverFit(const FleetView& fleet, const SeatRequest& request) -> bool {
  return !FindIn(fleet, request, CapacityOf).empty();
}

}  // namespace kcm::dispatch
