#include "LibSchedule/guaranteed_pass.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

using MembersOn = std::function<std::int64_t(const Allocation&)>;

/// Places a gang inside the unit, preferably on one worker.
/// @param members_on how many members may use an allocation of the unit.
auto PlacementInside(const GuaranteeUnit& unit,
                     const state::Shape& shape,
                     const MembersOn& members_on) -> std::optional<Placement> {
  const auto per_slot = MembersPerSlot(unit.shape, shape);
  Placement available;
  for (std::size_t i = 0; i < unit.placement.size(); ++i) {
    const auto slots = unit.placement[i].members - unit.used[i];
    const auto free_members =
        std::min(slots * per_slot, members_on(unit.placement[i]));
    if (free_members >= shape.members) {
      return Placement{{unit.placement[i].worker, shape.members}};
    }
    if (free_members > 0) {
      available.push_back({unit.placement[i].worker, free_members});
    }
  }
  if (SlotsNeeded(unit.shape, shape) == 1 ||
      shape.adjacency == state::Adjacency::kSameWorker) {
    return std::nullopt;
  }
  std::stable_sort(available.begin(), available.end(),
                   [](const Allocation& left, const Allocation& right) {
                     return left.members > right.members;
                   });
  Placement placement;
  auto missing = shape.members;
  for (const auto& entry : available) {
    const auto part = std::min(missing, entry.members);
    placement.push_back({entry.worker, part});
    missing -= part;
    if (missing == 0) {
      return placement;
    }
  }
  return std::nullopt;
}

}  // namespace

auto GuaranteedPass::Run() -> void {
  std::vector<std::tuple<bool, core::Millis, std::string>> heads;
  for (const auto& [account, classes] : state_->waiting.accounts()) {
    for (const auto& [job_class, ranked] : classes) {
      if (state_->ledger.FindUnit(account, job_class.shape) == nullptr) {
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
      TryStart(WaitingJob(*job));
    }
  }
}

auto GuaranteedPass::TryStart(const WaitingJob& job) -> bool {
  auto* unit = state_->ledger.FindUnit(job.account, job.job_class.shape);
  if (unit == nullptr) {
    return false;
  }
  if (PlaceNow(job, *unit)) {
    return true;
  }
  // Guarantees take precedence over reservations.
  state_->CancelReservations();
  return PlaceNow(job, *unit) || Reclaim(job, *unit);
}

auto GuaranteedPass::PlaceNow(const WaitingJob& job, GuaranteeUnit& unit)
    -> bool {
  const auto& shape = job.job_class.shape;
  if (unit.used_slots == 0) {
    MoveToFreeCapacity(unit);
  }
  auto placement =
      PlacementInside(unit, shape, [&](const Allocation& allocation) {
        return MembersThatFit(state_->model.free.free(allocation.worker),
                              shape);
      });
  if (!placement) {
    return false;
  }
  GuaranteeLedger::Charge(unit, *placement, shape);
  state_->Place(job, AllocationClass::kGuaranteed, &unit,
                std::move(*placement));
  return true;
}

auto GuaranteedPass::MoveToFreeCapacity(GuaranteeUnit& unit) -> void {
  auto& model = state_->model;
  model.ReleaseUncommitted(unit.placement, unit.shape);
  auto placement = model.free_uncommitted.FindPlacement(unit.shape);
  model.ReserveUncommitted(unit.placement, unit.shape);
  if (placement) {
    state_->ledger.MoveUnit(unit, std::move(*placement));
  }
}

auto GuaranteedPass::Reclaim(const WaitingJob& job, GuaranteeUnit& unit)
    -> bool {
  const auto& shape = job.job_class.shape;
  const bool whole_unit = unit.used_slots == 0 &&
                          SlotsNeeded(unit.shape, shape) == unit.shape.members;
  const bool move_unit = unit.used_slots == 0 && (whole_unit || !unit.placed);
  auto plan = move_unit ? PlanUnitReclaim(unit) : PlanReclaimInside(job, unit);
  if (!plan) {
    return false;
  }
  Placement placement = plan->placement;
  if (move_unit) {
    state_->ledger.MoveUnit(unit, plan->placement);
    const auto inside =
        PlacementInside(unit, shape, [&](const Allocation& allocation) {
          return allocation.members * MembersPerSlot(unit.shape, shape);
        });
    if (!inside) {
      return false;
    }
    placement = *inside;
  }
  GuaranteeLedger::Charge(unit, placement, shape);
  Hold hold{job.id, shape, AllocationClass::kGuaranteed, &unit,
            std::move(placement)};
  state_->PreemptFor(std::move(hold), plan->victims);
  return true;
}

auto GuaranteedPass::PlanUnitReclaim(GuaranteeUnit& unit)
    -> std::optional<EvictionPlan> {
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = unit.shape;
  request.members = unit.shape.members;
  request.capacity_limit = [&](WorkerIndex worker) {
    return model.uncommitted.free(worker);
  };
  request.cost_of = [&](const Gang& gang) -> std::optional<double> {
    if (gang.allocation_class != AllocationClass::kBorrowed) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  model.ReleaseUncommitted(unit.placement, unit.shape);
  auto plan = FindCheapestEviction(model, model.uncommitted, request);
  model.ReserveUncommitted(unit.placement, unit.shape);
  return plan;
}

auto GuaranteedPass::PlanReclaimInside(const WaitingJob& job,
                                       const GuaranteeUnit& unit)
    -> std::optional<EvictionPlan> {
  const auto& shape = job.job_class.shape;
  EvictionRequest request;
  request.shape = shape;
  request.members = shape.members;
  request.capacity_limit = [&](WorkerIndex worker) {
    std::int64_t slots = 0;
    for (std::size_t i = 0; i < unit.placement.size(); ++i) {
      if (unit.placement[i].worker == worker) {
        slots += unit.placement[i].members - unit.used[i];
      }
    }
    return CapacityOf(unit.shape, slots);
  };
  request.cost_of = [&](const Gang& gang) -> std::optional<double> {
    if (gang.allocation_class != AllocationClass::kBorrowed) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  const bool one_worker = SlotsNeeded(unit.shape, shape) == 1 ||
                          shape.adjacency == state::Adjacency::kSameWorker;
  std::vector<std::vector<WorkerIndex>> groups(1);
  for (const auto& allocation : unit.placement) {
    if (one_worker) {
      groups.push_back({allocation.worker});
    } else {
      groups.front().push_back(allocation.worker);
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
