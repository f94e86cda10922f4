#include "LibSchedule/reservation_pass.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

/// Multiple of its expected run time that a backfilled gang must fit into.
constexpr core::Millis kBackfillIdleFactor = 2;

/// How many times larger a gang must be to displace a reservation.
constexpr std::int64_t kDisplacingSizeFactor = 4;

auto CapacityOn(const Gang& gang, WorkerIndex worker) -> Capacity {
  Capacity capacity;
  for (const auto& allocation : gang.placement) {
    if (allocation.worker == worker) {
      capacity += CapacityOf(gang.shape, allocation.members);
    }
  }
  return capacity;
}

}  // namespace

auto ReservationPass::FinishHolds() -> void {
  std::vector<std::tuple<bool, core::Millis, std::string>> order;
  for (const auto& [job, hold] : state_->holds) {
    order.emplace_back(hold.reservation, hold.since, job);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [reservation, since, job] : order) {
    FinishHold(job);
  }
}

auto ReservationPass::FinishHold(const std::string& job) -> void {
  const auto found = state_->holds.find(job);
  const auto* waiting = state_->waiting.Find(job);
  if (waiting == nullptr) {
    state_->CancelHold(job);
    return;
  }
  const auto& hold = found->second;
  if (!state_->model.IsFree(hold.placement, hold.shape)) {
    if (state_->now >= hold.preempt_at) {
      PreemptBlockers(hold);
    }
    return;
  }
  // The unit stays charged: the gang takes over the slots of its hold.
  auto ready = hold;
  state_->model.ReleaseHold(ready.placement, ready.shape);
  if (ready.allocation_class == AllocationClass::kNonPreemptible) {
    state_->model.ReleaseUncommitted(ready.placement, ready.shape);
  }
  state_->holds.erase(found);
  state_->Place(WaitingJob(*waiting), ready.allocation_class, ready.unit,
                std::move(ready.placement));
}

auto ReservationPass::PreemptBlockers(const Hold& hold) -> void {
  if (hold.reservation && !OnlyBorrowersBlock(hold)) {
    return;
  }
  for (const auto& victim : hold.victims) {
    if (const auto gang = state_->gangs.find(victim);
        gang != state_->gangs.end()) {
      state_->Preempt(gang->second, hold.job);
    }
  }
  for (const auto& allocation : hold.placement) {
    PreemptBlockersOn(hold, allocation);
  }
}

auto ReservationPass::OnlyBorrowersBlock(const Hold& hold) const -> bool {
  return std::all_of(
      hold.placement.begin(), hold.placement.end(),
      [&](const Allocation& allocation) {
        auto free = state_->model.unoccupied.free(allocation.worker);
        for (const auto* gang : state_->model.gangs_on(allocation.worker)) {
          if (gang->allocation_class == AllocationClass::kBorrowed) {
            free += CapacityOn(*gang, allocation.worker);
          }
        }
        return MembersThatFit(free, hold.shape) >= allocation.members;
      });
}

auto ReservationPass::PreemptBlockersOn(const Hold& hold,
                                        const Allocation& allocation) -> void {
  auto free = state_->model.unoccupied.free(allocation.worker);
  std::vector<std::tuple<double, std::string, Gang*>> borrowers;
  for (auto* gang : state_->model.gangs_on(allocation.worker)) {
    if (gang->preempting) {
      free += CapacityOn(*gang, allocation.worker);
    } else if (gang->allocation_class == AllocationClass::kBorrowed &&
               (!gang->urgent || hold.unit != nullptr)) {
      borrowers.emplace_back(state_->LostWork(*gang), gang->id, gang);
    }
  }
  std::sort(borrowers.begin(), borrowers.end());
  for (const auto& [lost, id, gang] : borrowers) {
    if (MembersThatFit(free, hold.shape) >= allocation.members) {
      return;
    }
    free += CapacityOn(*gang, allocation.worker);
    state_->Preempt(*gang, hold.job);
  }
}

auto ReservationPass::MostStarved(const UnguaranteedPass::Blocked& blocked)
    -> WaitingJob* {
  WaitingJob* starved = nullptr;
  for (const auto& [account, job_class] : blocked) {
    const auto classes = state_->waiting.accounts().find(account);
    if (classes == state_->waiting.accounts().end()) {
      continue;
    }
    const auto ranked = classes->second.find(job_class);
    if (ranked == classes->second.end()) {
      continue;
    }
    for (const auto& [rank, id] : ranked->second) {
      auto* job = state_->waiting.Find(id);
      if (state_->holds.contains(id)) {
        continue;
      }
      if (state_->now - job->waiting_since <
          state_->settings.reserve_after_ms) {
        break;
      }
      if (starved == nullptr || StarvationOf(*job) > StarvationOf(*starved)) {
        starved = job;
      }
      break;
    }
  }
  return starved;
}

auto ReservationPass::OpenReservations(const UnguaranteedPass::Blocked& blocked)
    -> void {
  auto open_reservations =
      std::count_if(state_->holds.begin(), state_->holds.end(),
                    [](const auto& entry) { return entry.second.reservation; });
  for (;;) {
    auto* job = MostStarved(blocked);
    if (job == nullptr || !state_->WithinLimits(*job)) {
      return;
    }
    if (open_reservations >= state_->settings.max_reservations) {
      if (!DisplaceSmaller(*job)) {
        return;
      }
      --open_reservations;
    }
    if (!OpenReservation(*job)) {
      return;
    }
    ++open_reservations;
  }
}

auto ReservationPass::StarvationOf(const WaitingJob& job) const
    -> std::int64_t {
  return (state_->now - job.waiting_since) *
         std::max<std::int64_t>(state::TotalAccelerators(job.job_class.shape),
                                1);
}

auto ReservationPass::DisplaceSmaller(const WaitingJob& job) -> bool {
  for (const auto& [id, hold] : state_->holds) {
    const auto* reserved_job = state_->waiting.Find(id);
    if (hold.reservation && reserved_job != nullptr &&
        state::TotalAccelerators(hold.shape) * kDisplacingSizeFactor <=
            state::TotalAccelerators(job.job_class.shape) &&
        StarvationOf(*reserved_job) < StarvationOf(job)) {
      state_->CancelHold(std::string(id));
      return true;
    }
  }
  return false;
}

auto ReservationPass::OpenReservation(WaitingJob& job) -> bool {
  const auto allocation_class = state_->AllocationClassOf(job);
  if (allocation_class == AllocationClass::kNonPreemptible &&
      !state_->ledger.AllUnitsPlaced()) {
    return false;
  }
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = job.job_class.shape;
  request.members = request.shape.members;
  request.by_max_cost = true;
  request.capacity_limit = [&](WorkerIndex worker) {
    if (allocation_class == AllocationClass::kBorrowed) {
      return model.usable_total.free(worker);
    }
    auto limit = model.uncommitted.free(worker);
    for (const auto* gang : model.gangs_on(worker)) {
      if (gang->allocation_class == AllocationClass::kNonPreemptible) {
        limit += CapacityOn(*gang, worker);
      }
    }
    return limit;
  };
  request.cost_of = [&](const Gang& gang) -> std::optional<double> {
    auto remaining = state_->ExpectedRemaining(gang, state_->now);
    if (gang.allocation_class == AllocationClass::kBorrowed) {
      remaining =
          std::min(remaining, state_->settings.reservation_preempt_after_ms);
    }
    return static_cast<double>(remaining);
  };
  auto plan = FindCheapestEviction(model, model.usable_total, request);
  if (!plan) {
    return false;
  }
  if (job.reserved_since == 0) {
    job.reserved_since = state_->now;
  }
  Hold hold{job.id, request.shape, allocation_class, nullptr, plan->placement};
  hold.reservation = true;
  hold.since = job.reserved_since;
  hold.preempt_at =
      IsMigrationWorthwhile(job, *plan)
          ? state_->now
          : job.reserved_since + state_->settings.reservation_preempt_after_ms;
  hold.expected_ready = state_->now + static_cast<core::Millis>(plan->cost);
  for (const auto* victim : plan->victims) {
    if (victim->allocation_class == AllocationClass::kBorrowed) {
      hold.victims.push_back(victim->id);
    }
  }
  const auto id = job.id;
  state_->AddHold(std::move(hold));
  if (state_->now >= state_->holds.at(id).preempt_at) {
    PreemptBlockers(state_->holds.at(id));
  }
  return true;
}

auto ReservationPass::IsMigrationWorthwhile(const WaitingJob& job,
                                            const EvictionPlan& plan) -> bool {
  double lost = 0;
  for (const auto* victim : plan.victims) {
    if (victim->allocation_class != AllocationClass::kBorrowed ||
        victim->recovery != state::Recovery::kCheckpointable ||
        !victim->placed) {
      return false;
    }
    lost += state_->LostWork(*victim);
  }
  const auto gained =
      static_cast<double>(state::TotalAccelerators(job.job_class.shape)) *
      static_cast<double>(state_->now - job.waiting_since);
  if (lost > 2 * state_->settings.fragmentation_weight * gained) {
    return false;
  }
  auto& model = state_->model;
  model.AllocateHold(plan.placement, job.job_class.shape);
  std::vector<std::pair<Placement, const state::Shape*>> migrated;
  bool all_fit = true;
  for (const auto* victim : plan.victims) {
    auto placement = model.free.FindPlacement(victim->shape);
    if (!placement) {
      all_fit = false;
      break;
    }
    model.AllocateHold(*placement, victim->shape);
    migrated.emplace_back(std::move(*placement), &victim->shape);
  }
  for (const auto& [placement, shape] : migrated) {
    model.ReleaseHold(placement, *shape);
  }
  model.ReleaseHold(plan.placement, job.job_class.shape);
  return all_fit;
}

auto ReservationPass::Backfill(const UnguaranteedPass::Blocked& blocked)
    -> void {
  for (const auto& [job, hold] : state_->holds) {
    if (hold.reservation) {
      BackfillHold(hold, blocked);
    }
  }
}

auto ReservationPass::BackfillHold(const Hold& hold,
                                   const UnguaranteedPass::Blocked& blocked)
    -> void {
  const auto idle_for = hold.expected_ready - state_->now;
  for (const auto& [account, job_class] : blocked) {
    const auto classes = state_->waiting.accounts().find(account);
    if (!job_class.preemptible || classes == state_->waiting.accounts().end()) {
      continue;
    }
    const auto ranked = classes->second.find(job_class);
    if (ranked == classes->second.end()) {
      continue;
    }
    const auto& [rank, id] = *ranked->second.begin();
    const WaitingJob job = *state_->waiting.Find(id);
    const auto expected =
        state_->estimate.ExpectedRunTime(account, job.declared_ms);
    if (state_->holds.contains(id) ||
        expected * kBackfillIdleFactor > idle_for ||
        state_->AllocationClassOf(job) != AllocationClass::kBorrowed ||
        !state_->WithinLimits(job)) {
      continue;
    }
    if (auto placement = FindPlacementInside(hold, job_class.shape)) {
      state_->Place(job, AllocationClass::kBorrowed, nullptr,
                    std::move(*placement));
    }
  }
}

auto ReservationPass::FindPlacementInside(const Hold& hold,
                                          const state::Shape& shape)
    -> std::optional<Placement> {
  auto& model = state_->model;
  std::map<std::uint32_t, std::vector<WorkerIndex>> groups;
  const bool by_worker = shape.adjacency == state::Adjacency::kSameWorker;
  for (const auto& allocation : hold.placement) {
    groups[by_worker ? allocation.worker
                     : model.table.at(allocation.worker).rack]
        .push_back(allocation.worker);
  }
  model.ReleaseHold(hold.placement, hold.shape);
  std::optional<Placement> placement;
  for (const auto& [key, workers] : groups) {
    placement = model.free.FindPlacementAmong(workers, shape, shape.members);
    if (placement) {
      break;
    }
  }
  model.AllocateHold(hold.placement, hold.shape);
  return placement;
}

}  // namespace kcm::schedule
