#include "LibSchedule/open_pass.h"

#include <utility>

#include "LibSchedule/eviction.h"

namespace kcm::schedule {

auto OpenPass::HeadOf(const std::string& account,
                      const WaitingQueue::Classes& classes,
                      bool urgent_only) const -> Head {
  Head best;
  for (const auto& [job_class, ranked] : classes) {
    const std::pair key(account, job_class);
    if ((urgent_only && !job_class.urgent) || blocked_.contains(key) ||
        limited_.contains(key)) {
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

auto OpenPass::RunUrgent() -> void {
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
      if (Try(head)) {
        continue;
      }
      const WaitingJob job = *state_->waiting.Find(head.job);
      if (limited_.contains({account, head.job_class})) {
        continue;
      }
      if (PreemptFor(job)) {
        blocked_.erase({account, head.job_class});
      }
    }
  }
}

auto OpenPass::RunFair() -> void {
  for (auto head = NextByShare(); !head.job.empty(); head = NextByShare()) {
    Try(head);
  }
}

auto OpenPass::NextByShare() const -> Head {
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

auto OpenPass::Try(const Head& head) -> bool {
  const WaitingJob job = *state_->waiting.Find(head.job);
  const std::pair key(head.account, head.job_class);
  if (!state_->WithinLimits(job)) {
    limited_.insert(key);
    return false;
  }
  const auto standing = state_->StandingOf(job);
  const std::pair shape_key(job.job_class, standing);
  const bool firm = standing == Standing::kFirm;
  if (no_room_.contains(shape_key) || (firm && !state_->ledger.IsWhole())) {
    blocked_.insert(key);
    return false;
  }
  auto& view = firm ? state_->model.open : state_->model.free;
  auto seats = state_->FindRoom(view, job);
  if (!seats) {
    no_room_.insert(shape_key);
    blocked_.insert(key);
    return false;
  }
  state_->Place(job, standing, nullptr, std::move(*seats));
  return true;
}

auto OpenPass::PreemptFor(const WaitingJob& job) -> bool {
  const auto standing = state_->StandingOf(job);
  if (standing == Standing::kFirm && !state_->ledger.IsWhole()) {
    return false;
  }
  auto& model = state_->model;
  EvictionRequest request;
  request.shape = job.job_class.shape;
  request.members = request.shape.members;
  request.ceiling = [&](WorkerIndex worker) {
    return standing == Standing::kFirm ? model.firm.free(worker)
                                       : model.whole.free(worker);
  };
  request.price = [&](const Gang& gang) -> std::optional<double> {
    if (gang.standing != Standing::kBorrowed || gang.urgent) {
      return std::nullopt;
    }
    return state_->LostWork(gang);
  };
  const auto& view = standing == Standing::kFirm ? model.firm : model.whole;
  auto plan = CheapestEviction(model, view, request);
  if (!plan) {
    state_->CancelReservations();
    plan = CheapestEviction(model, view, request);
  }
  if (!plan) {
    return false;
  }
  Hold hold{job.id, request.shape, standing, nullptr, std::move(plan->seats)};
  state_->PreemptFor(std::move(hold), plan->victims);
  return true;
}

}  // namespace kcm::schedule
