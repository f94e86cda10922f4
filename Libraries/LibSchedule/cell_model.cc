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
  unoccupied.Take(gang.placement, gang.shape);
  free.Take(gang.placement, gang.shape);
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    gangs_[gang.placement[i].worker].push_back(&gang);
    table.AllocateMask(gang.placement[i].worker, gang.masks[i]);
  }
  RefreshFreeUncommitted(gang.placement);
}

auto CellModel::RemoveGang(Gang& gang) -> void {
  unoccupied.Give(gang.placement, gang.shape);
  free.Give(gang.placement, gang.shape);
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    std::erase(gangs_[gang.placement[i].worker], &gang);
    table.GiveMask(gang.placement[i].worker, gang.masks[i]);
  }
  RefreshFreeUncommitted(gang.placement);
}

auto CellModel::AllocateHold(const Seats& placement, const state::Shape& shape)
    -> void {
  free.Take(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::ReleaseHold(const Seats& placement, const state::Shape& shape)
    -> void {
  free.Give(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::Commit(const Seats& placement, const state::Shape& shape)
    -> void {
  uncommitted.Take(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::Uncommit(const Seats& placement, const state::Shape& shape)
    -> void {
  uncommitted.Give(placement, shape);
  RefreshFreeUncommitted(placement);
}

auto CellModel::IsFree(const Seats& placement, const state::Shape& shape) const
    -> bool {
  return std::all_of(
      placement.begin(), placement.end(), [&](const Allocation& allocation) {
        return MembersThatFit(unoccupied.free(allocation.worker), shape) >=
               allocation.members;
      });
}

auto CellModel::RefreshFreeUncommitted(const Seats& placement) -> void {
  for (const auto& allocation : placement) {
    RefreshFreeUncommitted(allocation.worker);
  }
}

auto CellModel::RefreshFreeUncommitted(WorkerIndex worker) -> void {
  free_uncommitted.Set(worker,
                       Least(free.free(worker), uncommitted.free(worker)));
}

}  // namespace kcm::schedule
