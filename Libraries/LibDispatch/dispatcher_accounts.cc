// Order of the waiting steps of one tier and priority by the shares of their
// accounts; see docs/design/account-order.md.

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// Shares are logged in thousandths of a pool.
constexpr double kLoggedParts = 1000;

auto Rounded(double share) -> double {
  return std::round(share * kLoggedParts) / kLoggedParts;
}

auto Times(const Resources& demand, std::size_t count) -> Resources {
  const auto times = static_cast<std::int64_t>(count);
  return {demand.millicores * times, demand.memory_mb * times,
          demand.accelerators * times};
}

auto Exceeds(const Resources& demand, const Resources& free) -> bool {
  return demand.millicores > free.millicores ||
         demand.memory_mb > free.memory_mb ||
         demand.accelerators > free.accelerators;
}

/// @return the dominant share of one task.
auto ShareOf(const Resources& demand, const Resources& total) -> double {
  const auto part = [](std::int64_t amount, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole)
                     : 0;
  };
  return std::max({part(demand.millicores, total.millicores),
                   part(demand.memory_mb, total.memory_mb),
                   part(demand.accelerators, total.accelerators)});
}

/// @return how many parts of a step, which are placed as a whole, are within
///     the share of an account. One that is wider than the share starts while
///     the account uses less than its share, since it could never start
///     otherwise; narrower ones do not exceed it, so that many accounts do not
///     take the share of another one together.
auto PartsWithin(const AccountShare& share, double part) -> std::size_t {
  constexpr double kRoundingError = 1e-9;
  if (share.present >= share.max_min) {
    return 0;
  }
  if (part > share.max_min) {
    return 1;
  }
  const auto parts =
      (share.max_min - share.present) / std::max(part, kRoundingError);
  return static_cast<std::size_t>(parts + kRoundingError);
}

}  // namespace

auto Dispatcher::PlanGroup(PendingGroup group,
                           const std::map<std::string, bool>& guaranteed_jobs,
                           PlanPass& pass,
                           ClockReading now) -> void {
  const auto shares = SharesInGroup(group, pass, now);
  const auto max_min_of = [&](const PendingStep& pending) {
    return shares.at(PolicyOf(*pending.job).service)
        .at(pending.job->spec.account);
  };
  // Accounts with a step beyond their shares. Further steps are not planned
  // before it, or wide gangs would wait for the small jobs of their account.
  std::set<PoolAccount> beyond_accounts;
  std::vector<PendingStep*> beyond_average;
  std::vector<PendingStep*> beyond;
  const auto plan_within_share = [&](PendingStep& pending) {
    CompareShare(pending, max_min_of(pending), pass, now);
    const auto owner = PoolAccountOf(*pending.job);
    if (beyond_accounts.contains(owner) ||
        !PlanWithinShare(pending, guaranteed_jobs, pass, now)) {
      beyond_accounts.insert(owner);
      pending.is_beyond_share = true;
      beyond.push_back(&pending);
    }
  };
  for (auto& pending : group) {
    if (!shares.contains(PolicyOf(*pending.job).service)) {
      PlanStep(pending, guaranteed_jobs, pass, now);
      continue;
    }
    CompareShare(pending, max_min_of(pending), pass, now);
    if (pending.account_share->is_average_beyond) {
      pending.is_beyond_share = true;
      beyond_average.push_back(&pending);
    } else {
      plan_within_share(pending);
    }
  }
  // These share what is left by their present usage first: else the one with
  // the oldest jobs would take it all, and they would take turns.
  for (auto* pending : beyond_average) {
    plan_within_share(*pending);
  }
  // In the order of the group, whose steps are in one array.
  std::sort(beyond.begin(), beyond.end());
  for (auto* pending : beyond) {
    CompareShare(*pending, max_min_of(*pending), pass, now);
    PlanStep(*pending, guaranteed_jobs, pass, now);
  }
  NoteStillWaiting(group, pass);
}

auto Dispatcher::SharesInGroup(PendingGroup group,
                               const PlanPass& pass,
                               ClockReading now) -> PoolShares {
  if (!settings_.orders_by_account ||
      group.front().rank.tier == JobTier::kGuaranteed ||
      !account_shares_.HasEnoughData(now.steady)) {
    return {};
  }
  const auto has_one_account =
      std::all_of(group.begin(), group.end(), [&](const PendingStep& pending) {
        return pending.job->spec.account == group.front().job->spec.account;
      });
  if (has_one_account) {
    return {};
  }
  std::map<std::string, WaitingDemand> waiting;
  for (const auto& pending : group) {
    const auto owner = PoolAccountOf(*pending.job);
    waiting[owner.service][owner.account] +=
        Times(pending.job->SpecOf(*pending.step).demand, pending.tasks.size());
  }
  PoolShares shares;
  for (auto& [service, by_account] : waiting) {
    const auto pool = pass.fleet.pools.find(service);
    if (by_account.size() < 2 || pool == pass.fleet.pools.end()) {
      continue;
    }
    Resources sum;
    for (const auto& [account, demand] : by_account) {
      sum += demand;
    }
    if (!Exceeds(sum, pool->second.free) &&
        !groups_without_room_.contains({service, group.front().Group()})) {
      continue;
    }
    if (const auto ahead = pass.still_waiting.find(service);
        ahead != pass.still_waiting.end()) {
      for (const auto& [account, demand] : ahead->second) {
        by_account[account] += demand;
      }
    }
    shares[service] =
        account_shares_.MaxMinShares(service, pool->second.total, by_account);
    load_.accounts += static_cast<std::int64_t>(shares[service].size());
  }
  return shares;
}

auto Dispatcher::CompareShare(PendingStep& pending,
                              double max_min,
                              const PlanPass& pass,
                              ClockReading now) -> void {
  const auto owner = PoolAccountOf(*pending.job);
  pending.account_share = account_shares_.Compare(
      owner, pending.Group(), pass.fleet.pools.at(owner.service).total, max_min,
      now.steady);
}

auto Dispatcher::PlanWithinShare(
    PendingStep& pending,
    const std::map<std::string, bool>& guaranteed_jobs,
    PlanPass& pass,
    ClockReading now) -> bool {
  const auto& spec = pending.job->SpecOf(*pending.step);
  const auto& total = pass.fleet.pools.at(PolicyOf(*pending.job).service).total;
  const auto is_whole = spec.gang || spec.same_rack || pending.is_isolated;
  const auto tasks_of_part = is_whole ? pending.tasks.size() : 1;
  const auto within =
      tasks_of_part *
      PartsWithin(*pending.account_share,
                  ShareOf(Times(spec.demand, tasks_of_part), total));
  if (within == 0) {
    return false;
  }
  if (within >= pending.tasks.size()) {
    PlanStep(pending, guaranteed_jobs, pass, now);
    return true;
  }
  const auto split =
      pending.tasks.begin() + static_cast<std::ptrdiff_t>(within);
  const std::vector<std::size_t> rest(split, pending.tasks.end());
  pending.tasks.erase(split, pending.tasks.end());
  PlanStep(pending, guaranteed_jobs, pass, now);
  // If these did not fit, neither do the others, which are alike.
  const auto is_full = !pending.tasks.empty();
  pending.tasks.insert(pending.tasks.end(), rest.begin(), rest.end());
  return is_full;
}

auto Dispatcher::NoteStillWaiting(PendingGroup group, PlanPass& pass) const
    -> void {
  if (!settings_.orders_by_account ||
      group.front().rank.tier == JobTier::kGuaranteed) {
    return;
  }
  for (const auto& pending : group) {
    if (pending.tasks.empty()) {
      continue;
    }
    const auto owner = PoolAccountOf(*pending.job);
    pass.still_waiting[owner.service][owner.account] +=
        Times(pending.job->SpecOf(*pending.step).demand, pending.tasks.size());
    pass.groups_without_room.emplace(owner.service, pending.Group());
  }
}

auto Dispatcher::AddAccountFields(const PendingStep& pending,
                                  core::Json& fields) -> void {
  fields["account"] = pending.job->spec.account;
  fields["beyond_share"] = pending.is_beyond_share;
  if (pending.account_share) {
    fields["share"] = Rounded(std::max(pending.account_share->present,
                                       pending.account_share->average));
    fields["max_min_share"] = Rounded(pending.account_share->max_min);
  }
}

}  // namespace kcm::dispatch
