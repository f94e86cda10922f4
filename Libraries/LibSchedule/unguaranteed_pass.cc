#include "LibSchedule/unguaranteed_pass.h"

#include <utility>

#include "LibSchedule/eviction.h"

namespace kcm::schedule {

auto UnguaranteedPass::HeadOf(const std::string& account,
                              const WaitingQueue::Classes& classes,
                              bool urgent_only) const -> Head {
  Head best;
  for (const auto& [job_class, ranked] : classes) {
    const std::pair key(account, job_class);
    if ((urgent_only && !job_class.urgent) || blocked_.contains(key) ||
        over_limit_.contains(key)) {
      continue;
    }
    for (const auto& [rank, id] : ranked) {
      if (state_->holds.contains(id)) {
        continue;
      }
      if (best.job.empty() || rank < best.rank) {
        best = {account, job_class, id, rank};
      }
      break;
    }
  }
  return best;
}

auto UnguaranteedPass::RunUrgent() -> void {
  const auto& accounts = state_->waiting.accounts();
  std::vector<std::string> names;
  names.reserve(accounts.size());
  for (const auto& [account, classes] : accounts) {
    names.push_back(account);
  }
  for (const auto& account : names) {
    for (auto found = accounts.find(account); found != accounts.end();
         found = accounts.find(account)) {
      const auto head = HeadOf(account, found->second, true);
      if (head.job.empty()) {
        break;
      }
      if (TryStart(head)) {
        continue;
      }
      const WaitingJob job = *state_->waiting.Find(head.job);
      if (over_limit_.contains({account, head.job_class})) {
        continue;
      }
      if (PreemptFor(job)) {
        blocked_.erase({account, head.job_class});
      }
    }
  }
}

auto UnguaranteedPass::RunFair() -> void {
  for (auto head = NextByShare(); !head.job.empty(); head = NextByShare()) {
    TryStart(head);
  }
}

auto UnguaranteedPass::NextByShare() const -> Head {
  Head best;
  double least = 0;
  for (const auto& [account, classes] : state_->waiting.accounts()) {
    const auto share = state_->usage.DominantShare(
        account, state_->RowOf(account).weight, state_->model.table.total());
    if (!best.job.empty() && share >= least) {
      continue;
    }
    auto head = HeadOf(account, classes, false);
    if (!head.job.empty()) {
      best = std::move(head);
      least = share;
    }
  }
  return best;
}

auto UnguaranteedPass::TryStart(const Head& head) -> bool {
  const WaitingJob job = *state_->waiting.Find(head.job);
  const std::pair key(head.account, head.job_class);
  if (!state_->WithinLimits(job)) {
    over_limit_.insert(key);
    return false;
  }
  const auto allocation_class = state_->AllocationClassOf(job);
  const std::pair shape_key(job.job_class, allocation_class);
  const bool non_preemptible =
      allocation_class == AllocationClass::kNonPreemptible;
  if (no_capacity_.contains(shape_key) ||
      (non_preemptible && !state_->ledger.AllUnitsPlaced())) {
    blocked_.insert(key);
    return false;
  }
  auto& view =
      non_preemptible ? state_->model.free_uncommitted : state_->model.free;
  auto placement = state_->FindPlacement(view, job);
  if (!placement) {
    no_capacity_.insert(shape_key);
    blocked_.insert(key);
    return false;
  }
  state_->Place(job, allocation_class, nullptr, std::move(*placement));
  return true;
}

auto UnguaranteedPass::PreemptFor(const WaitingJob& job) -> bool {
  const auto allocation_class = state_->AllocationClassOf(job);
  if (allocation_class == AllocationClass::kNonPreemptible &&
      !state_->ledger.AllUnitsPlaced()) {
    return false;
  }
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = job.job_class.shape;
  request.members = request.shape.members;
  request.capacity_limit = [&](WorkerIndex worker) {
    return allocation_class == AllocationClass::kNonPreemptible
               ? model.uncommitted.free(worker)
               : model.usable_total.free(worker);
  };
  request.cost_of = [&](const Gang& gang) -> std::optional<double> {
    if (gang.allocation_class != AllocationClass::kBorrowed || gang.urgent) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  const auto& view = allocation_class == AllocationClass::kNonPreemptible
                         ? model.uncommitted
                         : model.usable_total;
  auto plan = FindCheapestEviction(model, view, request);
  if (!plan) {
    state_->CancelReservations();
    plan = FindCheapestEviction(model, view, request);
  }
  if (!plan) {
    return false;
  }
  Hold hold{job.id, request.shape, allocation_class, nullptr,
            std::move(plan->placement)};
  state_->PreemptFor(std::move(hold), plan->victims);
  return true;
}

}  // namespace kcm::schedule
