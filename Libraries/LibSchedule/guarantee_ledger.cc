#include "LibSchedule/guarantee_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

auto LargestFirst(const GuaranteeUnit& left, const GuaranteeUnit& right)
    -> bool {
  const auto key = [](const GuaranteeUnit& unit) {
    return std::tuple(-state::TotalAccelerators(unit.shape),
                      -unit.shape.accelerators, unit.account);
  };
  return key(left) < key(right);
}

auto NonPreemptibleFirst(const Gang* left, const Gang* right) -> bool {
  const auto key = [](const Gang* gang) {
    return std::tuple(gang->recovery != state::Recovery::kNone,
                      -state::TotalAccelerators(gang->shape), gang->id);
  };
  return key(left) < key(right);
}

auto IndexOfWorker(const Placement& placement, WorkerIndex worker)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::find_if(placement.begin(), placement.end(),
                   [&](const Allocation& allocation) {
                     return allocation.worker == worker;
                   }) -
      placement.begin());
}

auto SlotsOn(const GuaranteeUnit& unit,
             const Allocation& allocation,
             const state::Shape& shape) -> std::int64_t {
  const auto per_slot =
      std::max<std::int64_t>(MembersPerSlot(unit.shape, shape), 1);
  return (allocation.members + per_slot - 1) / per_slot;
}

auto AddAllocations(GuaranteeUnit& unit, const Placement& placement) -> void {
  for (const auto& allocation : placement) {
    const auto index = IndexOfWorker(unit.placement, allocation.worker);
    if (index < unit.placement.size()) {
      unit.placement[index].members += allocation.members;
    } else {
      unit.placement.push_back(allocation);
      unit.used.push_back(0);
    }
  }
}

}  // namespace

auto GuaranteeLedger::Rebuild(
    const std::map<std::string, state::AccountRow>& rows,
    const std::string& data_centre,
    std::vector<Gang*> gangs) -> void {
  units_.clear();
  by_account_.clear();
  for (const auto& [account, row] : rows) {
    for (const auto& guarantee : row.guarantees) {
      for (std::int64_t i = 0;
           guarantee.data_centre == data_centre && i < guarantee.count; ++i) {
        units_.push_back({account, guarantee.shape, {}, {}, 0, false});
      }
    }
  }
  units_.sort(LargestFirst);
  for (auto& unit : units_) {
    by_account_[unit.account].push_back(&unit);
  }
  std::sort(gangs.begin(), gangs.end(), NonPreemptibleFirst);
  for (auto* gang : gangs) {
    if (!ChargeExisting(*gang)) {
      ClassifyUncharged(*gang, rows);
    }
  }
  for (auto& unit : units_) {
    if (unit.used_slots > 0 && !PlaceRemainder(unit)) {
      UnchargeGangs(unit, gangs, rows);
    }
  }
  for (auto& unit : units_) {
    PlaceUnit(unit);
  }
  CountUnplaced();
  if (!AllUnitsPlaced()) {
    Repack();
  }
}

auto GuaranteeLedger::ClassifyUncharged(
    Gang& gang,
    const std::map<std::string, state::AccountRow>& rows) -> void {
  const auto row = rows.find(gang.account);
  const bool may_borrow = row == rows.end() || row->second.may_borrow;
  const bool borrows = gang.recovery != state::Recovery::kNone && may_borrow;
  gang.unit = nullptr;
  gang.allocation_class =
      borrows ? AllocationClass::kBorrowed : AllocationClass::kNonPreemptible;
  if (!borrows) {
    model_->ReserveUncommitted(gang.placement, gang.shape);
  }
}

/// Accounts the unit's gangs beyond the guarantee, so that the whole unit can
/// be placed elsewhere.
auto GuaranteeLedger::UnchargeGangs(
    GuaranteeUnit& unit,
    const std::vector<Gang*>& gangs,
    const std::map<std::string, state::AccountRow>& rows) -> void {
  Release(unit);
  unit.used_slots = 0;
  for (auto* gang : gangs) {
    if (gang->unit == &unit) {
      ClassifyUncharged(*gang, rows);
    }
  }
}

auto GuaranteeLedger::ChargeExisting(Gang& gang) -> bool {
  gang.unit = nullptr;
  auto* unit = FindUnit(gang.account, gang.shape);
  if (unit == nullptr) {
    return false;
  }
  std::int64_t slots = 0;
  for (const auto& allocation : gang.placement) {
    slots += SlotsOn(*unit, allocation, gang.shape);
  }
  if (slots > unit->free_slots() || !KeepsAdjacency(*unit, gang)) {
    return false;
  }
  for (const auto& allocation : gang.placement) {
    const Placement added = {
        {allocation.worker, SlotsOn(*unit, allocation, gang.shape)}};
    model_->ReserveUncommitted(added, unit->shape);
    AddAllocations(*unit, added);
  }
  Charge(*unit, gang.placement, gang.shape);
  gang.allocation_class = AllocationClass::kGuaranteed;
  gang.unit = unit;
  return true;
}

/// @return whether the unit keeps its adjacency with the gang charged to it.
auto GuaranteeLedger::KeepsAdjacency(const GuaranteeUnit& unit,
                                     const Gang& gang) const -> bool {
  if (gang.placement.empty() ||
      unit.shape.adjacency == state::Adjacency::kAnywhere) {
    return !gang.placement.empty();
  }
  auto all = unit.placement;
  all.insert(all.end(), gang.placement.begin(), gang.placement.end());
  const auto by_rack = [&](const Allocation& left, const Allocation& right) {
    return model_->table.at(left.worker).rack <
           model_->table.at(right.worker).rack;
  };
  const auto [low, high] = std::minmax_element(all.begin(), all.end(), by_rack);
  const auto span =
      model_->table.at(high->worker).rack - model_->table.at(low->worker).rack;
  switch (unit.shape.adjacency) {
    case state::Adjacency::kSameWorker:
      return std::all_of(all.begin(), all.end(),
                         [&](const Allocation& allocation) {
                           return allocation.worker == all.front().worker;
                         });
    case state::Adjacency::kSameRack:
      return span == 0;
    default:
      return span <= 1;
  }
}

auto GuaranteeLedger::IsOvercommitted(const Placement& placement) const
    -> bool {
  return std::any_of(
      placement.begin(), placement.end(), [&](const Allocation& allocation) {
        const auto& left = model_->uncommitted.free(allocation.worker);
        return Least(left, {}) != Capacity{};
      });
}

auto GuaranteeLedger::PlaceRemainder(GuaranteeUnit& unit) -> bool {
  if (IsOvercommitted(unit.placement)) {
    return false;
  }
  std::int64_t pinned = 0;
  for (const auto& allocation : unit.placement) {
    pinned += allocation.members;
  }
  const auto missing = unit.shape.members - pinned;
  if (missing <= 0) {
    unit.placed = true;
    return true;
  }
  const auto rack = model_->table.at(unit.placement.front().worker).rack;
  std::optional<Placement> rest;
  switch (unit.shape.adjacency) {
    case state::Adjacency::kSameWorker:
      rest = model_->uncommitted.FindPlacementAmong(
          {unit.placement.front().worker}, unit.shape, missing);
      break;
    case state::Adjacency::kSameRack:
      rest = model_->uncommitted.FindPlacementAmong(
          model_->table.rack_workers(rack), unit.shape, missing);
      break;
    case state::Adjacency::kNeighbouringRacks: {
      const bool alone =
          std::all_of(unit.placement.begin(), unit.placement.end(),
                      [&](const Allocation& allocation) {
                        return model_->table.at(allocation.worker).rack >= rack;
                      });
      rest = model_->uncommitted.FindPlacementAmong(
          model_->uncommitted.WorkersOf(alone ? rack : rack - 1, true),
          unit.shape, missing);
      break;
    }
    case state::Adjacency::kAnywhere: {
      auto shape = unit.shape;
      shape.members = missing;
      rest = model_->uncommitted.FindPlacement(shape);
      break;
    }
  }
  if (!rest) {
    return false;
  }
  model_->ReserveUncommitted(*rest, unit.shape);
  AddAllocations(unit, *rest);
  unit.placed = true;
  return true;
}

auto GuaranteeLedger::FindUnit(const std::string& account,
                               const state::Shape& shape) -> GuaranteeUnit* {
  const auto found = by_account_.find(account);
  if (found == by_account_.end()) {
    return nullptr;
  }
  GuaranteeUnit* best = nullptr;
  auto least = std::tuple(false, std::int64_t{0}, std::int64_t{0});
  for (auto* unit : found->second) {
    const auto slots = SlotsNeeded(unit->shape, shape);
    if (slots == 0 || slots > unit->free_slots()) {
      continue;
    }
    const auto left = std::tuple(
        !unit->placed,
        unit->shape.accelerators * slots - state::TotalAccelerators(shape),
        unit->free_slots() - slots);
    if (best == nullptr || left < least) {
      best = unit;
      least = left;
    }
  }
  return best;
}

auto GuaranteeLedger::MoveUnit(GuaranteeUnit& unit, Placement placement)
    -> void {
  Release(unit);
  model_->ReserveUncommitted(placement, unit.shape);
  unit.placement = std::move(placement);
  unit.used.assign(unit.placement.size(), 0);
  unit.placed = true;
  CountUnplaced();
}

auto GuaranteeLedger::Charge(GuaranteeUnit& unit,
                             const Placement& placement,
                             const state::Shape& shape) -> void {
  for (const auto& allocation : placement) {
    const auto slots = SlotsOn(unit, allocation, shape);
    const auto index = IndexOfWorker(unit.placement, allocation.worker);
    if (index < unit.placement.size()) {
      unit.used[index] += slots;
    }
    unit.used_slots += slots;
  }
}

auto GuaranteeLedger::Uncharge(GuaranteeUnit& unit,
                               const Placement& placement,
                               const state::Shape& shape) -> void {
  for (const auto& allocation : placement) {
    const auto slots = SlotsOn(unit, allocation, shape);
    const auto index = IndexOfWorker(unit.placement, allocation.worker);
    if (index < unit.placement.size()) {
      unit.used[index] -= slots;
    }
    unit.used_slots -= slots;
  }
}

auto GuaranteeLedger::PlaceUnit(GuaranteeUnit& unit) -> void {
  if (unit.placed || unit.used_slots > 0) {
    return;
  }
  Release(unit);
  if (auto placement = model_->uncommitted.FindPlacement(unit.shape)) {
    MoveUnit(unit, std::move(*placement));
  }
}

auto GuaranteeLedger::Release(GuaranteeUnit& unit) -> void {
  model_->ReleaseUncommitted(unit.placement, unit.shape);
  unit.placement.clear();
  unit.used.clear();
  unit.placed = false;
}

auto GuaranteeLedger::OnWorkerUsabilityChanged(WorkerIndex worker) -> void {
  const bool usable = model_->table.at(worker).usable;
  for (auto& unit : units_) {
    const auto index = IndexOfWorker(unit.placement, worker);
    if (index == unit.placement.size()) {
      continue;
    }
    unit.placed =
        usable &&
        std::all_of(unit.placement.begin(), unit.placement.end(),
                    [&](const Allocation& allocation) {
                      return model_->table.at(allocation.worker).usable;
                    });
  }
  CountUnplaced();
  PlaceUnplacedUnits();
}

auto GuaranteeLedger::PlaceUnplacedUnits() -> void {
  if (AllUnitsPlaced()) {
    return;
  }
  for (auto& unit : units_) {
    PlaceUnit(unit);
  }
  CountUnplaced();
  if (!AllUnitsPlaced()) {
    Repack();
  }
}

/// Places all idle units anew, largest first, and keeps the better result.
auto GuaranteeLedger::Repack() -> void {
  const auto before = unplaced_;
  std::vector<std::tuple<GuaranteeUnit*, Placement, bool>> former;
  for (auto& unit : units_) {
    if (unit.used_slots == 0) {
      former.emplace_back(&unit, unit.placement, unit.placed);
      Release(unit);
    }
  }
  for (auto& unit : units_) {
    PlaceUnit(unit);
  }
  CountUnplaced();
  if (unplaced_ < before) {
    return;
  }
  for (auto& [unit, placement, placed] : former) {
    Release(*unit);
  }
  for (auto& [unit, placement, placed] : former) {
    model_->ReserveUncommitted(placement, unit->shape);
    unit->placement = std::move(placement);
    unit->used.assign(unit->placement.size(), 0);
    unit->placed = placed;
  }
  CountUnplaced();
}

auto GuaranteeLedger::CountUnplaced() -> void {
  unplaced_ = static_cast<std::size_t>(
      std::count_if(units_.begin(), units_.end(),
                    [](const GuaranteeUnit& unit) { return !unit.placed; }));
}

}  // namespace kcm::schedule
