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

auto MustRunFirst(const Gang* left, const Gang* right) -> bool {
  const auto key = [](const Gang* gang) {
    return std::tuple(gang->recovery != state::Recovery::kNone,
                      -state::TotalAccelerators(gang->shape), gang->id);
  };
  return key(left) < key(right);
}

auto IndexOfSeat(const Seats& seats, WorkerIndex worker) -> std::size_t {
  return static_cast<std::size_t>(
      std::find_if(seats.begin(), seats.end(),
                   [&](const Seat& seat) { return seat.worker == worker; }) -
      seats.begin());
}

auto SlotsOn(const GuaranteeUnit& unit,
             const Seat& seat,
             const state::Shape& shape) -> std::int64_t {
  const auto per_slot =
      std::max<std::int64_t>(MembersPerSlot(unit.shape, shape), 1);
  return (seat.members + per_slot - 1) / per_slot;
}

auto AddSeats(GuaranteeUnit& unit, const Seats& seats) -> void {
  for (const auto& seat : seats) {
    const auto index = IndexOfSeat(unit.seats, seat.worker);
    if (index < unit.seats.size()) {
      unit.seats[index].members += seat.members;
    } else {
      unit.seats.push_back(seat);
      unit.used.push_back(0);
    }
  }
}

}  // namespace

auto GuaranteeLedger::Rebuild(const std::map<std::string, state::Row>& rows,
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
  std::sort(gangs.begin(), gangs.end(), MustRunFirst);
  for (auto* gang : gangs) {
    if (!ChargeExisting(*gang)) {
      LeaveUncharged(*gang, rows);
    }
  }
  for (auto& unit : units_) {
    if (unit.used_slots > 0 && !SeatRemainder(unit)) {
      DropCharges(unit, gangs, rows);
    }
  }
  for (auto& unit : units_) {
    SeatUnit(unit);
  }
  CountBroken();
  if (!IsWhole()) {
    Repack();
  }
}

auto GuaranteeLedger::LeaveUncharged(
    Gang& gang,
    const std::map<std::string, state::Row>& rows) -> void {
  const auto row = rows.find(gang.account);
  const bool lends = row == rows.end() || row->second.may_borrow;
  const bool borrows = gang.recovery != state::Recovery::kNone && lends;
  gang.unit = nullptr;
  gang.standing = borrows ? Standing::kBorrowed : Standing::kFirm;
  if (!borrows) {
    model_->TakeFirm(gang.seats, gang.shape);
  }
}

/// Counts the unit's gangs beyond the guarantee, so that the unit can be
/// seated whole elsewhere.
auto GuaranteeLedger::DropCharges(GuaranteeUnit& unit,
                                  const std::vector<Gang*>& gangs,
                                  const std::map<std::string, state::Row>& rows)
    -> void {
  Release(unit);
  unit.used_slots = 0;
  for (auto* gang : gangs) {
    if (gang->unit == &unit) {
      LeaveUncharged(*gang, rows);
    }
  }
}

auto GuaranteeLedger::ChargeExisting(Gang& gang) -> bool {
  gang.unit = nullptr;
  auto* unit = Find(gang.account, gang.shape);
  if (unit == nullptr) {
    return false;
  }
  std::int64_t slots = 0;
  for (const auto& seat : gang.seats) {
    slots += SlotsOn(*unit, seat, gang.shape);
  }
  if (slots > unit->free_slots() || !StaysClose(*unit, gang)) {
    return false;
  }
  for (const auto& seat : gang.seats) {
    const Seats added = {{seat.worker, SlotsOn(*unit, seat, gang.shape)}};
    model_->TakeFirm(added, unit->shape);
    AddSeats(*unit, added);
  }
  Charge(*unit, gang.seats, gang.shape);
  gang.standing = Standing::kGuaranteed;
  gang.unit = unit;
  return true;
}

/// @return whether the gang and what the unit has already may be one gang.
auto GuaranteeLedger::StaysClose(const GuaranteeUnit& unit,
                                 const Gang& gang) const -> bool {
  if (gang.seats.empty() ||
      unit.shape.adjacency == state::Adjacency::kAnywhere) {
    return !gang.seats.empty();
  }
  auto all = unit.seats;
  all.insert(all.end(), gang.seats.begin(), gang.seats.end());
  const auto by_rack = [&](const Seat& left, const Seat& right) {
    return model_->table.at(left.worker).rack <
           model_->table.at(right.worker).rack;
  };
  const auto [low, high] = std::minmax_element(all.begin(), all.end(), by_rack);
  const auto span =
      model_->table.at(high->worker).rack - model_->table.at(low->worker).rack;
  switch (unit.shape.adjacency) {
    case state::Adjacency::kSameWorker:
      return std::all_of(all.begin(), all.end(), [&](const Seat& seat) {
        return seat.worker == all.front().worker;
      });
    case state::Adjacency::kSameRack:
      return span == 0;
    default:
      return span <= 1;
  }
}

auto GuaranteeLedger::IsOvercommitted(const Seats& seats) const -> bool {
  return std::any_of(seats.begin(), seats.end(), [&](const Seat& seat) {
    const auto& left = model_->firm.free(seat.worker);
    return Least(left, {}) != Capacity{};
  });
}

auto GuaranteeLedger::SeatRemainder(GuaranteeUnit& unit) -> bool {
  if (IsOvercommitted(unit.seats)) {
    return false;
  }
  std::int64_t pinned = 0;
  for (const auto& seat : unit.seats) {
    pinned += seat.members;
  }
  const auto missing = unit.shape.members - pinned;
  if (missing <= 0) {
    unit.seated = true;
    return true;
  }
  const auto rack = model_->table.at(unit.seats.front().worker).rack;
  std::optional<Seats> rest;
  switch (unit.shape.adjacency) {
    case state::Adjacency::kSameWorker:
      rest = model_->firm.FindAmong({unit.seats.front().worker}, unit.shape,
                                    missing);
      break;
    case state::Adjacency::kSameRack:
      rest = model_->firm.FindAmong(model_->table.rack_workers(rack),
                                    unit.shape, missing);
      break;
    case state::Adjacency::kNeighbouringRacks: {
      const bool alone = std::all_of(
          unit.seats.begin(), unit.seats.end(), [&](const Seat& seat) {
            return model_->table.at(seat.worker).rack >= rack;
          });
      rest = model_->firm.FindAmong(
          model_->firm.WorkersOf(alone ? rack : rack - 1, true), unit.shape,
          missing);
      break;
    }
    case state::Adjacency::kAnywhere: {
      auto shape = unit.shape;
      shape.members = missing;
      rest = model_->firm.Find(shape);
      break;
    }
  }
  if (!rest) {
    return false;
  }
  model_->TakeFirm(*rest, unit.shape);
  AddSeats(unit, *rest);
  unit.seated = true;
  return true;
}

auto GuaranteeLedger::Find(const std::string& account,
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
        !unit->seated,
        unit->shape.accelerators * slots - state::TotalAccelerators(shape),
        unit->free_slots() - slots);
    if (best == nullptr || left < least) {
      best = unit;
      least = left;
    }
  }
  return best;
}

auto GuaranteeLedger::Move(GuaranteeUnit& unit, Seats seats) -> void {
  Release(unit);
  model_->TakeFirm(seats, unit.shape);
  unit.seats = std::move(seats);
  unit.used.assign(unit.seats.size(), 0);
  unit.seated = true;
  CountBroken();
}

auto GuaranteeLedger::Charge(GuaranteeUnit& unit,
                             const Seats& seats,
                             const state::Shape& shape) -> void {
  for (const auto& seat : seats) {
    const auto slots = SlotsOn(unit, seat, shape);
    const auto index = IndexOfSeat(unit.seats, seat.worker);
    if (index < unit.seats.size()) {
      unit.used[index] += slots;
    }
    unit.used_slots += slots;
  }
}

auto GuaranteeLedger::Uncharge(GuaranteeUnit& unit,
                               const Seats& seats,
                               const state::Shape& shape) -> void {
  for (const auto& seat : seats) {
    const auto slots = SlotsOn(unit, seat, shape);
    const auto index = IndexOfSeat(unit.seats, seat.worker);
    if (index < unit.seats.size()) {
      unit.used[index] -= slots;
    }
    unit.used_slots -= slots;
  }
}

auto GuaranteeLedger::SeatUnit(GuaranteeUnit& unit) -> void {
  if (unit.seated || unit.used_slots > 0) {
    return;
  }
  Release(unit);
  if (auto seats = model_->firm.Find(unit.shape)) {
    Move(unit, std::move(*seats));
  }
}

auto GuaranteeLedger::Release(GuaranteeUnit& unit) -> void {
  model_->GiveFirm(unit.seats, unit.shape);
  unit.seats.clear();
  unit.used.clear();
  unit.seated = false;
}

auto GuaranteeLedger::OnWorkerChanged(WorkerIndex worker) -> void {
  const bool usable = model_->table.at(worker).usable;
  for (auto& unit : units_) {
    const auto index = IndexOfSeat(unit.seats, worker);
    if (index == unit.seats.size()) {
      continue;
    }
    unit.seated =
        usable && std::all_of(unit.seats.begin(), unit.seats.end(),
                              [&](const Seat& seat) {
                                return model_->table.at(seat.worker).usable;
                              });
  }
  CountBroken();
  Reseat();
}

auto GuaranteeLedger::Reseat() -> void {
  if (IsWhole()) {
    return;
  }
  for (auto& unit : units_) {
    SeatUnit(unit);
  }
  CountBroken();
  if (!IsWhole()) {
    Repack();
  }
}

/// Seats all idle units anew, largest first, and keeps the better result.
auto GuaranteeLedger::Repack() -> void {
  const auto before = broken_;
  std::vector<std::tuple<GuaranteeUnit*, Seats, bool>> former;
  for (auto& unit : units_) {
    if (unit.used_slots == 0) {
      former.emplace_back(&unit, unit.seats, unit.seated);
      Release(unit);
    }
  }
  for (auto& unit : units_) {
    SeatUnit(unit);
  }
  CountBroken();
  if (broken_ < before) {
    return;
  }
  for (auto& [unit, seats, seated] : former) {
    Release(*unit);
  }
  for (auto& [unit, seats, seated] : former) {
    model_->TakeFirm(seats, unit->shape);
    unit->seats = std::move(seats);
    unit->used.assign(unit->seats.size(), 0);
    unit->seated = seated;
  }
  CountBroken();
}

auto GuaranteeLedger::CountBroken() -> void {
  broken_ = static_cast<std::size_t>(
      std::count_if(units_.begin(), units_.end(),
                    [](const GuaranteeUnit& unit) { return !unit.seated; }));
}

}  // namespace kcm::schedule
