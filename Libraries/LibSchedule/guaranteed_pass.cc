#include "LibSchedule/guaranteed_pass.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

using MembersOn = std::function<std::int64_t(const Seat&)>;

/// Chooses seats of the unit for a gang, one worker first.
/// @param members_on how many members may go to a seat of the unit.
auto SeatsInside(const GuaranteeUnit& unit,
                 const state::Shape& shape,
                 const MembersOn& members_on) -> std::optional<Seats> {
  const auto per_slot = MembersPerSlot(unit.shape, shape);
  Seats rooms;
  for (std::size_t i = 0; i < unit.seats.size(); ++i) {
    const auto slots = unit.seats[i].members - unit.used[i];
    const auto room = std::min(slots * per_slot, members_on(unit.seats[i]));
    if (room >= shape.members) {
      return Seats{{unit.seats[i].worker, shape.members}};
    }
    if (room > 0) {
      rooms.push_back({unit.seats[i].worker, room});
    }
  }
  if (SlotsNeeded(unit.shape, shape) == 1 ||
      shape.adjacency == state::Adjacency::kSameWorker) {
    return std::nullopt;
  }
  std::stable_sort(rooms.begin(), rooms.end(),
                   [](const Seat& left, const Seat& right) {
                     return left.members > right.members;
                   });
  Seats seats;
  auto missing = shape.members;
  for (const auto& room : rooms) {
    const auto part = std::min(missing, room.members);
    seats.push_back({room.worker, part});
    missing -= part;
    if (missing == 0) {
      return seats;
    }
  }
  return std::nullopt;
}

}  // namespace

auto GuaranteedPass::Run() -> void {
  std::vector<std::tuple<bool, core::Millis, std::string>> heads;
  for (const auto& [account, classes] : state_->waiting.accounts()) {
    for (const auto& [job_class, ranked] : classes) {
      if (state_->ledger.Find(account, job_class.shape) == nullptr) {
        continue;
      }
      for (const auto& [rank, id] : ranked) {
        if (!state_->holds.contains(id)) {
          heads.emplace_back(!job_class.urgent, rank, id);
        }
        if (heads.size() > state_->ledger.units().size() * 4) {
          break;
        }
      }
    }
  }
  std::sort(heads.begin(), heads.end());
  for (const auto& [later, rank, id] : heads) {
    if (const auto* job = state_->waiting.Find(id)) {
      Try(WaitingJob(*job));
    }
  }
}

auto GuaranteedPass::Try(const WaitingJob& job) -> bool {
  auto* unit = state_->ledger.Find(job.account, job.job_class.shape);
  if (unit == nullptr) {
    return false;
  }
  if (PlaceNow(job, *unit)) {
    return true;
  }
  // A reservation is a favour; the guarantee goes first.
  state_->CancelReservations();
  return PlaceNow(job, *unit) || Reclaim(job, *unit);
}

auto GuaranteedPass::PlaceNow(const WaitingJob& job, GuaranteeUnit& unit)
    -> bool {
  const auto& shape = job.job_class.shape;
  if (unit.used_slots == 0) {
    MoveToFreeRoom(unit);
  }
  auto seats = SeatsInside(unit, shape, [&](const Seat& seat) {
    return MembersThatFit(state_->model.free.free(seat.worker), shape);
  });
  if (!seats) {
    return false;
  }
  GuaranteeLedger::Charge(unit, *seats, shape);
  state_->Place(job, Standing::kGuaranteed, &unit, std::move(*seats));
  return true;
}

auto GuaranteedPass::MoveToFreeRoom(GuaranteeUnit& unit) -> void {
  auto& model = state_->model;
  model.GiveFirm(unit.seats, unit.shape);
  auto seats = model.open.Find(unit.shape);
  model.TakeFirm(unit.seats, unit.shape);
  if (seats) {
    state_->ledger.Move(unit, std::move(*seats));
  }
}

auto GuaranteedPass::Reclaim(const WaitingJob& job, GuaranteeUnit& unit)
    -> bool {
  const auto& shape = job.job_class.shape;
  const bool whole = unit.used_slots == 0 &&
                     SlotsNeeded(unit.shape, shape) == unit.shape.members;
  const bool reseat = unit.used_slots == 0 && (whole || !unit.seated);
  auto plan = reseat ? ReclaimWhole(unit) : ReclaimInside(job, unit);
  if (!plan) {
    return false;
  }
  Seats seats = plan->seats;
  if (reseat) {
    state_->ledger.Move(unit, plan->seats);
    const auto inside = SeatsInside(unit, shape, [&](const Seat& seat) {
      return seat.members * MembersPerSlot(unit.shape, shape);
    });
    if (!inside) {
      return false;
    }
    seats = *inside;
  }
  GuaranteeLedger::Charge(unit, seats, shape);
  Hold hold{job.id, shape, Standing::kGuaranteed, &unit, std::move(seats)};
  state_->PreemptFor(std::move(hold), plan->victims);
  return true;
}

auto GuaranteedPass::ReclaimWhole(GuaranteeUnit& unit)
    -> std::optional<EvictionPlan> {
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = unit.shape;
  request.members = unit.shape.members;
  request.ceiling = [&](WorkerIndex worker) { return model.firm.free(worker); };
  request.price = [&](const Gang& gang) -> std::optional<double> {
    if (gang.standing != Standing::kBorrowed) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  model.GiveFirm(unit.seats, unit.shape);
  auto plan = CheapestEviction(model, model.firm, request);
  model.TakeFirm(unit.seats, unit.shape);
  return plan;
}

auto GuaranteedPass::ReclaimInside(const WaitingJob& job,
                                   const GuaranteeUnit& unit)
    -> std::optional<EvictionPlan> {
  const auto& shape = job.job_class.shape;
  EvictionRequest request;
  request.shape = shape;
  request.members = shape.members;
  request.ceiling = [&](WorkerIndex worker) {
    std::int64_t slots = 0;
    for (std::size_t i = 0; i < unit.seats.size(); ++i) {
      if (unit.seats[i].worker == worker) {
        slots += unit.seats[i].members - unit.used[i];
      }
    }
    return CapacityOf(unit.shape, slots);
  };
  request.price = [&](const Gang& gang) -> std::optional<double> {
    if (gang.standing != Standing::kBorrowed) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  const bool one_worker = SlotsNeeded(unit.shape, shape) == 1 ||
                          shape.adjacency == state::Adjacency::kSameWorker;
  std::vector<std::vector<WorkerIndex>> groups(1);
  for (const auto& seat : unit.seats) {
    if (one_worker) {
      groups.push_back({seat.worker});
    } else {
      groups.front().push_back(seat.worker);
    }
  }
  std::optional<EvictionPlan> best;
  for (const auto& group : groups) {
    auto plan = PlanEviction(state_->model, group, request);
    if (plan && (!best || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace kcm::schedule
