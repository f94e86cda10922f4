#include "LibSchedule/cell_model.h"

#include <algorithm>

namespace kcm::schedule {

CellModel::CellModel()
    : recorded(table),
      whole(table),
      physical(table),
      free(table),
      firm(table),
      open(table) {}

auto CellModel::Reset(const std::vector<Gang*>& gangs) -> void {
  for (auto* view : {&whole, &physical, &free, &firm, &open}) {
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
  for (auto* view : {&recorded, &whole, &physical, &free, &firm, &open}) {
    view->Grow();
  }
  gangs_.resize(table.size());
}

auto CellModel::SetUsable(WorkerIndex worker, bool usable) -> void {
  auto change = Capacity{};
  change -= table.UsableCapacity(worker);
  table.SetUsable(worker, usable);
  change += table.UsableCapacity(worker);
  for (auto* view : {&whole, &physical, &free, &firm}) {
    view->Add(worker, change);
  }
  RefreshOpen(worker);
}

auto CellModel::AddGang(Gang& gang) -> void {
  physical.Take(gang.seats, gang.shape);
  free.Take(gang.seats, gang.shape);
  for (std::size_t i = 0; i < gang.seats.size(); ++i) {
    gangs_[gang.seats[i].worker].push_back(&gang);
    table.TakeMask(gang.seats[i].worker, gang.masks[i]);
  }
  RefreshOpen(gang.seats);
}

auto CellModel::RemoveGang(Gang& gang) -> void {
  physical.Give(gang.seats, gang.shape);
  free.Give(gang.seats, gang.shape);
  for (std::size_t i = 0; i < gang.seats.size(); ++i) {
    std::erase(gangs_[gang.seats[i].worker], &gang);
    table.GiveMask(gang.seats[i].worker, gang.masks[i]);
  }
  RefreshOpen(gang.seats);
}

auto CellModel::TakeHold(const Seats& seats, const state::Shape& shape)
    -> void {
  free.Take(seats, shape);
  RefreshOpen(seats);
}

auto CellModel::GiveHold(const Seats& seats, const state::Shape& shape)
    -> void {
  free.Give(seats, shape);
  RefreshOpen(seats);
}

auto CellModel::TakeFirm(const Seats& seats, const state::Shape& shape)
    -> void {
  firm.Take(seats, shape);
  RefreshOpen(seats);
}

auto CellModel::GiveFirm(const Seats& seats, const state::Shape& shape)
    -> void {
  firm.Give(seats, shape);
  RefreshOpen(seats);
}

auto CellModel::IsFree(const Seats& seats, const state::Shape& shape) const
    -> bool {
  return std::all_of(seats.begin(), seats.end(), [&](const Seat& seat) {
    return MembersThatFit(physical.free(seat.worker), shape) >= seat.members;
  });
}

auto CellModel::RefreshOpen(const Seats& seats) -> void {
  for (const auto& seat : seats) {
    RefreshOpen(seat.worker);
  }
}

auto CellModel::RefreshOpen(WorkerIndex worker) -> void {
  open.Set(worker, Least(free.free(worker), firm.free(worker)));
}

}  // namespace kcm::schedule
