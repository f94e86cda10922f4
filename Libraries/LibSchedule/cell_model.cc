#include "LibSchedule/cell_model.h"

#include <algorithm>

namespace kcm::schedule {

CellModel::CellModel()
    : recorded(table),
      usable_total(table),
      unoccupied(table),
      free(table),
      uncommitted(table),
      free_uncommitted(table) {}

auto CellModel::Reset(const std::vector<Gang*>& gangs) -> void {
  for (auto* view :
       {&usable_total, &unoccupied, &free, &uncommitted, &free_uncommitted}) {
    view->Reset();
  }
  recorded.Reset(true);
  table.ResetMasks();
  gangs_.assign(table.size(), {});
  for (auto* gang : gangs) {
    AddGang(*gang);
  }
}

auto CellModel::Grow() -> void {
  for (auto* view : {&recorded, &usable_total, &unoccupied, &free, &uncommitted,
                     &free_uncommitted}) {
    view->Grow();
  }
  gangs_.resize(table.size());
}

auto CellModel::SetUsable(WorkerIndex worker, bool usable) -> void {
  auto change = Capacity{};
  change -= table.UsableCapacity(worker);
  table.SetUsable(worker, usable);
  change += table.UsableCapacity(worker);
  for (auto* view : {&usable_total, &unoccupied, &free, &uncommitted}) {
    view->Add(worker, change);
  }
  RefreshFreeUncommitted(worker);
}

auto CellModel::AddGang(Gang& gang) -> void {
  unoccupied.Allocate(gang.placement, gang.shape);
  free.Allocate(gang.placement, gang.shape);
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    gangs_[gang.placement[i].worker].push_back(&gang);
    table.AllocateMask(gang.placement[i].worker, gang.masks[i]);
  }
  RefreshFreeUncommitted(gang.placement);
}

auto CellModel::RemoveGang(Gang& gang) -> void {
  unoccupied.Release(gang.placement, gang.shape);
  free.Release(gang.placement, gang.shape);
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    std::erase(gangs_[gang.placement[i].worker], &gang);
    table.ReleaseMask(gang.placement[i].worker, gang.masks[i]);
  }
  RefreshFreeUncommitted(gang.placement);
}

auto CellModel::AllocateHold(const Placement& placement,
                             const state::Shape& shape) -> void {
  free.Allocate(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::ReleaseHold(const Placement& placement,
                            const state::Shape& shape) -> void {
  free.Release(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::ReserveUncommitted(const Placement& placement,
                                   const state::Shape& shape) -> void {
  uncommitted.Allocate(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::ReleaseUncommitted(const Placement& placement,
                                   const state::Shape& shape) -> void {
  uncommitted.Release(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::IsFree(const Placement& placement,
                       const state::Shape& shape) const -> bool {
  return std::all_of(
      placement.begin(), placement.end(), [&](const Allocation& allocation) {
        return MembersThatFit(unoccupied.free(allocation.worker), shape) >=
               allocation.members;
      });
}

auto CellModel::RefreshFreeUncommitted(const Placement& placement) -> void {
  for (const auto& allocation : placement) {
    RefreshFreeUncommitted(allocation.worker);
  }
}

auto CellModel::RefreshFreeUncommitted(WorkerIndex worker) -> void {
  free_uncommitted.Set(worker,
                       Least(free.free(worker), uncommitted.free(worker)));
}

}  // namespace kcm::schedule
