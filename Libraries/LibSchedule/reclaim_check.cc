#include "LibSchedule/reclaim_check.h"

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace kcm::schedule {

namespace {

using Load = std::map<WorkerIndex, Capacity>;

auto AddTo(Load& load, const Placement& placement, const state::Shape& shape)
    -> void {
  for (const auto& allocation : placement) {
    load[allocation.worker] += CapacityOf(shape, allocation.members);
  }
}

auto MembersOf(const Placement& placement) -> std::int64_t {
  std::int64_t members = 0;
  for (const auto& allocation : placement) {
    members += allocation.members;
  }
  return members;
}

auto IsAdjacent(const WorkerTable& table,
                const Placement& placement,
                state::Adjacency adjacency) -> bool {
  const auto rack = [&](const Allocation& allocation) {
    return table.at(allocation.worker).rack;
  };
  const auto [low, high] =
      std::minmax_element(placement.begin(), placement.end(),
                          [&](const Allocation& left, const Allocation& right) {
                            return rack(left) < rack(right);
                          });
  switch (adjacency) {
    case state::Adjacency::kSameWorker:
      return placement.size() == 1;
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
  if (MembersOf(unit.placement) != unit.shape.members) {
    return "a unit of " + unit.account + " is placed in part";
  }
  if (!IsAdjacent(state.model.table, unit.placement, unit.shape.adjacency)) {
    return "a unit of " + unit.account + " violates its adjacency";
  }
  Load inside;
  std::int64_t used = 0;
  for (const auto& [id, gang] : state.gangs) {
    if (gang.unit == &unit) {
      AddTo(inside, gang.placement, gang.shape);
      used += SlotsNeeded(unit.shape, gang.shape);
    }
  }
  if (used > unit.shape.members) {
    return "a unit of " + unit.account + " is used beyond its slots";
  }
  for (const auto& [worker, load] : inside) {
    Capacity slots;
    for (const auto& allocation : unit.placement) {
      if (allocation.worker == worker) {
        slots += CapacityOf(unit.shape, allocation.members);
      }
    }
    if (Least(slots, load) != load) {
      return "a charged gang of " + unit.account + " runs outside its unit";
    }
  }
  return std::nullopt;
}

}  // namespace

auto CheckReclaimable(const PlannerState& state) -> std::optional<std::string> {
  Load load;
  for (const auto& [id, gang] : state.gangs) {
    const bool borrows = gang.allocation_class == AllocationClass::kBorrowed;
    if (borrows && gang.recovery == state::Recovery::kNone) {
      return id + " borrows but cannot be preempted";
    }
    if (gang.allocation_class == AllocationClass::kNonPreemptible) {
      AddTo(load, gang.placement, gang.shape);
    }
  }
  for (const auto& unit : state.ledger.units()) {
    if (!unit.placed) {
      continue;
    }
    if (auto violation = CheckUnit(state, unit)) {
      return violation;
    }
    AddTo(load, unit.placement, unit.shape);
  }
  for (const auto& [worker, taken] : load) {
    const auto& entry = state.model.table.at(worker);
    if (entry.recorded && entry.usable && Least(taken, entry.total) != taken) {
      return "worker " + entry.id + " is committed beyond its capacity";
    }
  }
  return std::nullopt;
}

auto CheckGangs(const PlannerState& state) -> std::optional<std::string> {
  std::map<WorkerIndex, std::uint64_t> taken;
  Load load;
  for (const auto& [id, gang] : state.gangs) {
    if (MembersOf(gang.placement) != gang.shape.members) {
      return id + " is partial";
    }
    if (!IsAdjacent(state.model.table, gang.placement, gang.shape.adjacency)) {
      return id + " violates its adjacency";
    }
    AddTo(load, gang.placement, gang.shape);
    for (std::size_t i = 0; i < gang.placement.size(); ++i) {
      const auto mask = gang.masks[i];
      if (std::popcount(mask) !=
          gang.placement[i].members * gang.shape.accelerators) {
        return id + " has the wrong count of accelerators";
      }
      if ((taken[gang.placement[i].worker] & mask) != 0) {
        return id + " holds an accelerator of another gang";
      }
      taken[gang.placement[i].worker] |= mask;
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
