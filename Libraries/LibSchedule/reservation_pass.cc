#include "LibSchedule/reservation_pass.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

/// Multiple of its expected run time for which a backfilled gang must find
/// the room idle.
constexpr core::Millis kBackfillMargin = 2;

/// How many times larger a gang must be to take over a reservation.
constexpr std::int64_t kDisplacingSize = 4;

auto ShareOn(const Gang& gang, WorkerIndex worker) -> Capacity {
  Capacity share;
  for (const auto& seat : gang.seats) {
    if (seat.worker == worker) {
      share += CapacityOf(gang.shape, seat.members);
    }
  }
  return share;
}

}  // namespace

auto ReservationPass::FinishHolds() -> void {
  std::vector<std::tuple<bool, core::Millis, std::string>> order;
  for (const auto& [job, hold] : state_->holds) {
    order.emplace_back(hold.reservation, hold.since, job);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [reservation, since, job] : order) {
    Finish(job);
  }
}

auto ReservationPass::Finish(const std::string& job) -> void {
  const auto found = state_->holds.find(job);
  const auto* waiting = state_->waiting.Find(job);
  if (waiting == nullptr) {
    state_->CancelHold(job);
    return;
  }
  const auto& hold = found->second;
  if (!state_->model.IsFree(hold.seats, hold.shape)) {
    if (state_->now >= hold.preempt_at) {
      Push(hold);
    }
    return;
  }
  // The unit stays charged: the gang takes over the slots of its hold.
  auto ready = hold;
  state_->model.GiveHold(ready.seats, ready.shape);
  if (ready.standing == Standing::kFirm) {
    state_->model.GiveFirm(ready.seats, ready.shape);
  }
  state_->holds.erase(found);
  state_->Place(WaitingJob(*waiting), ready.standing, ready.unit,
                std::move(ready.seats));
}

auto ReservationPass::Push(const Hold& hold) -> void {
  if (hold.reservation && !OnlyBorrowersInTheWay(hold)) {
    return;
  }
  for (const auto& victim : hold.victims) {
    if (const auto gang = state_->gangs.find(victim);
        gang != state_->gangs.end()) {
      state_->Preempt(gang->second, hold.job);
    }
  }
  for (const auto& seat : hold.seats) {
    PushSeat(hold, seat);
  }
}

auto ReservationPass::OnlyBorrowersInTheWay(const Hold& hold) const -> bool {
  return std::all_of(
      hold.seats.begin(), hold.seats.end(), [&](const Seat& seat) {
        auto free = state_->model.physical.free(seat.worker);
        for (const auto* gang : state_->model.gangs_on(seat.worker)) {
          if (gang->standing == Standing::kBorrowed) {
            free += ShareOn(*gang, seat.worker);
          }
        }
        return MembersThatFit(free, hold.shape) >= seat.members;
      });
}

auto ReservationPass::PushSeat(const Hold& hold, const Seat& seat) -> void {
  auto free = state_->model.physical.free(seat.worker);
  std::vector<std::tuple<double, std::string, Gang*>> borrowers;
  for (auto* gang : state_->model.gangs_on(seat.worker)) {
    if (gang->preempting) {
      free += ShareOn(*gang, seat.worker);
    } else if (gang->standing == Standing::kBorrowed &&
               (!gang->urgent || hold.unit != nullptr)) {
      borrowers.emplace_back(state_->LostWork(*gang), gang->id, gang);
    }
  }
  std::sort(borrowers.begin(), borrowers.end());
  for (const auto& [lost, id, gang] : borrowers) {
    if (MembersThatFit(free, hold.shape) >= seat.members) {
      return;
    }
    free += ShareOn(*gang, seat.worker);
    state_->Preempt(*gang, hold.job);
  }
}

auto ReservationPass::MostStarved(const OpenPass::Blocked& blocked)
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
      if (state_->now - job->since < state_->settings.reserve_after_ms) {
        break;
      }
      if (starved == nullptr || UrgencyOf(*job) > UrgencyOf(*starved)) {
        starved = job;
      }
      break;
    }
  }
  return starved;
}

auto ReservationPass::Reserve(const OpenPass::Blocked& blocked) -> void {
  auto open =
      std::count_if(state_->holds.begin(), state_->holds.end(),
                    [](const auto& entry) { return entry.second.reservation; });
  for (;;) {
    auto* job = MostStarved(blocked);
    if (job == nullptr || !state_->WithinLimits(*job)) {
      return;
    }
    if (open >= state_->settings.max_reservations) {
      if (!Displace(*job)) {
        return;
      }
      --open;
    }
    if (!Open(*job)) {
      return;
    }
    ++open;
  }
}

auto ReservationPass::UrgencyOf(const WaitingJob& job) const -> std::int64_t {
  return (state_->now - job.since) *
         std::max<std::int64_t>(state::TotalAccelerators(job.job_class.shape),
                                1);
}

auto ReservationPass::Displace(const WaitingJob& job) -> bool {
  for (const auto& [id, hold] : state_->holds) {
    const auto* holder = state_->waiting.Find(id);
    if (hold.reservation && holder != nullptr &&
        state::TotalAccelerators(hold.shape) * kDisplacingSize <=
            state::TotalAccelerators(job.job_class.shape) &&
        UrgencyOf(*holder) < UrgencyOf(job)) {
      state_->CancelHold(std::string(id));
      return true;
    }
  }
  return false;
}

auto ReservationPass::Open(WaitingJob& job) -> bool {
  const auto standing = state_->StandingOf(job);
  if (standing == Standing::kFirm && !state_->ledger.IsWhole()) {
    return false;
  }
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = job.job_class.shape;
  request.members = request.shape.members;
  request.by_dearest = true;
  request.ceiling = [&](WorkerIndex worker) {
    if (standing == Standing::kBorrowed) {
      return model.whole.free(worker);
    }
    auto ceiling = model.firm.free(worker);
    for (const auto* gang : model.gangs_on(worker)) {
      if (gang->standing == Standing::kFirm) {
        ceiling += ShareOn(*gang, worker);
      }
    }
    return ceiling;
  };
  request.price = [&](const Gang& gang) -> std::optional<double> {
    auto remaining = state_->ExpectedRemaining(gang, state_->now);
    if (gang.standing == Standing::kBorrowed) {
      remaining = std::min(remaining, state_->settings.reservation_patience_ms);
    }
    return static_cast<double>(remaining);
  };
  auto plan = CheapestEviction(model, model.whole, request);
  if (!plan) {
    return false;
  }
  if (job.reserved_since == 0) {
    job.reserved_since = state_->now;
  }
  Hold hold{job.id, request.shape, standing, nullptr, plan->seats};
  hold.reservation = true;
  hold.since = job.reserved_since;
  hold.preempt_at =
      MovesPay(job, *plan)
          ? state_->now
          : job.reserved_since + state_->settings.reservation_patience_ms;
  hold.expected_ready = state_->now + static_cast<core::Millis>(plan->cost);
  for (const auto* victim : plan->victims) {
    if (victim->standing == Standing::kBorrowed) {
      hold.victims.push_back(victim->id);
    }
  }
  const auto id = job.id;
  state_->AddHold(std::move(hold));
  if (state_->now >= state_->holds.at(id).preempt_at) {
    Push(state_->holds.at(id));
  }
  return true;
}

auto ReservationPass::MovesPay(const WaitingJob& job, const EvictionPlan& plan)
    -> bool {
  double lost = 0;
  for (const auto* victim : plan.victims) {
    if (victim->standing != Standing::kBorrowed ||
        victim->recovery != state::Recovery::kCheckpointable ||
        !victim->placed) {
      return false;
    }
    lost += state_->LostWork(*victim);
  }
  const auto gained =
      static_cast<double>(state::TotalAccelerators(job.job_class.shape)) *
      static_cast<double>(state_->now - job.since);
  if (lost > 2 * state_->settings.fragmentation_weight * gained) {
    return false;
  }
  auto& model = state_->model;
  model.TakeHold(plan.seats, job.job_class.shape);
  std::vector<std::pair<Seats, const state::Shape*>> moved;
  bool all = true;
  for (const auto* victim : plan.victims) {
    auto seats = model.free.Find(victim->shape);
    if (!seats) {
      all = false;
      break;
    }
    model.TakeHold(*seats, victim->shape);
    moved.emplace_back(std::move(*seats), &victim->shape);
  }
  for (const auto& [seats, shape] : moved) {
    model.GiveHold(seats, *shape);
  }
  model.GiveHold(plan.seats, job.job_class.shape);
  return all;
}

auto ReservationPass::Backfill(const OpenPass::Blocked& blocked) -> void {
  for (const auto& [job, hold] : state_->holds) {
    if (hold.reservation) {
      BackfillHold(hold, blocked);
    }
  }
}

auto ReservationPass::BackfillHold(const Hold& hold,
                                   const OpenPass::Blocked& blocked) -> void {
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
    const auto expected = state_->estimate.Expect(account, job.declared_ms);
    if (state_->holds.contains(id) || expected * kBackfillMargin > idle_for ||
        state_->StandingOf(job) != Standing::kBorrowed ||
        !state_->WithinLimits(job)) {
      continue;
    }
    if (auto seats = FindInside(hold, job_class.shape)) {
      state_->Place(job, Standing::kBorrowed, nullptr, std::move(*seats));
    }
  }
}

auto ReservationPass::FindInside(const Hold& hold, const state::Shape& shape)
    -> std::optional<Seats> {
  auto& model = state_->model;
  std::map<std::uint32_t, std::vector<WorkerIndex>> groups;
  const bool by_worker = shape.adjacency == state::Adjacency::kSameWorker;
  for (const auto& seat : hold.seats) {
    groups[by_worker ? seat.worker : model.table.at(seat.worker).rack]
        .push_back(seat.worker);
  }
  model.GiveHold(hold.seats, hold.shape);
  std::optional<Seats> seats;
  for (const auto& [key, workers] : groups) {
    seats = model.free.FindAmong(workers, shape, shape.members);
    if (seats) {
      break;
    }
  }
  model.TakeHold(hold.seats, hold.shape);
  return seats;
}

}  // namespace kcm::schedule
