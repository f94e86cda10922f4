#include "LibSchedule/reclaim_check.h"

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace kcm::schedule {

namespace {

using Load = std::map<WorkerIndex, Capacity>;

auto AddTo(Load& load, const Seats& seats, const state::Shape& shape) -> void {
  for (const auto& seat : seats) {
    load[seat.worker] += CapacityOf(shape, seat.members);
  }
}

auto MembersOf(const Seats& seats) -> std::int64_t {
  std::int64_t members = 0;
  for (const auto& seat : seats) {
    members += seat.members;
  }
  return members;
}

auto IsAdjacent(const WorkerTable& table,
                const Seats& seats,
                state::Adjacency adjacency) -> bool {
  const auto rack = [&](const Seat& seat) {
    return table.at(seat.worker).rack;
  };
  const auto [low, high] = std::minmax_element(
      seats.begin(), seats.end(), [&](const Seat& left, const Seat& right) {
        return rack(left) < rack(right);
      });
  switch (adjacency) {
    case state::Adjacency::kSameWorker:
      return seats.size() == 1;
    case state::Adjacency::kSameRack:
      return rack(*low) == rack(*high);
    case state::Adjacency::kNeighbouringRacks:
      return rack(*high) - rack(*low) <= 1;
    case state::Adjacency::kAnywhere:
      return true;
  }
  return false;
}

auto CheckUnit(const PlannerState& state, const GuaranteeUnit& unit)
    -> std::optional<std::string> {
  if (MembersOf(unit.seats) != unit.shape.members) {
    return "a unit of " + unit.account + " is seated in part";
  }
  if (!IsAdjacent(state.model.table, unit.seats, unit.shape.adjacency)) {
    return "a unit of " + unit.account + " is spread too far";
  }
  Load inside;
  std::int64_t used = 0;
  for (const auto& [id, gang] : state.gangs) {
    if (gang.unit == &unit) {
      AddTo(inside, gang.seats, gang.shape);
      used += SlotsNeeded(unit.shape, gang.shape);
    }
  }
  if (used > unit.shape.members) {
    return "a unit of " + unit.account + " is used beyond its slots";
  }
  for (const auto& [worker, load] : inside) {
    Capacity slots;
    for (const auto& seat : unit.seats) {
      if (seat.worker == worker) {
        slots += CapacityOf(unit.shape, seat.members);
      }
    }
    if (Least(slots, load) != load) {
      return "a charged gang of " + unit.account + " sits outside its unit";
    }
  }
  return std::nullopt;
}

}  // namespace

auto CheckReclaimable(const PlannerState& state) -> std::optional<std::string> {
  Load load;
  for (const auto& [id, gang] : state.gangs) {
    const bool borrows = gang.standing == Standing::kBorrowed;
    if (borrows && gang.recovery == state::Recovery::kNone) {
      return id + " borrows but cannot be preempted";
    }
    if (gang.standing == Standing::kFirm) {
      AddTo(load, gang.seats, gang.shape);
    }
  }
  for (const auto& unit : state.ledger.units()) {
    if (!unit.seated) {
      continue;
    }
    if (auto broken = CheckUnit(state, unit)) {
      return broken;
    }
    AddTo(load, unit.seats, unit.shape);
  }
  for (const auto& [worker, taken] : load) {
    const auto& entry = state.model.table.at(worker);
    if (entry.recorded && entry.usable && Least(taken, entry.total) != taken) {
      return "worker " + entry.id + " owes more than it has";
    }
  }
  return std::nullopt;
}

auto CheckGangs(const PlannerState& state) -> std::optional<std::string> {
  std::map<WorkerIndex, std::uint64_t> taken;
  Load load;
  for (const auto& [id, gang] : state.gangs) {
    if (MembersOf(gang.seats) != gang.shape.members) {
      return id + " is partial";
    }
    if (!IsAdjacent(state.model.table, gang.seats, gang.shape.adjacency)) {
      return id + " is spread too far";
    }
    AddTo(load, gang.seats, gang.shape);
    for (std::size_t i = 0; i < gang.seats.size(); ++i) {
      const auto mask = gang.masks[i];
      if (std::popcount(mask) !=
          gang.seats[i].members * gang.shape.accelerators) {
        return id + " has the wrong count of accelerators";
      }
      if ((taken[gang.seats[i].worker] & mask) != 0) {
        return id + " holds an accelerator of another gang";
      }
      taken[gang.seats[i].worker] |= mask;
    }
  }
  for (const auto& [worker, used] : load) {
    const auto& entry = state.model.table.at(worker);
    if (entry.recorded && Least(used, entry.total) != used) {
      return "worker " + entry.id + " is overbooked";
    }
  }
  return std::nullopt;
}

}  // namespace kcm::schedule
