#include "LibDispatch/account_shares.h"

#include <algorithm>
#include <cmath>

#include "LibDispatch/max_min_levels.h"

namespace kcm::dispatch {

namespace {

/// After this many time constants a former usage of the whole pool counts for
/// less than a thousandth.
constexpr core::Millis kForgottenAfter = 7;

auto PartsOf(const std::array<double, 3>& amounts, const Resources& total)
    -> ResourceShares {
  const ResourceShares totals = {static_cast<double>(total.millicores),
                                 static_cast<double>(total.memory_mb),
                                 static_cast<double>(total.accelerators)};
  ResourceShares parts{};
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index] =
        totals[index] > 0 ? std::max(amounts[index], 0.0) / totals[index] : 0;
  }
  return parts;
}

}  // namespace

auto AccountShares::SetGuarantees(
    const std::map<std::string, std::int64_t>& guarantees) -> void {
  std::int64_t smallest = 0;
  for (const auto& [account, accelerators] : guarantees) {
    if (accelerators > 0 && (smallest == 0 || accelerators < smallest)) {
      smallest = accelerators;
    }
  }
  weights_.clear();
  for (const auto& [account, accelerators] : guarantees) {
    if (accelerators > smallest) {
      weights_[account] =
          static_cast<double>(accelerators) / static_cast<double>(smallest);
    }
  }
}

auto AccountShares::WeightOf(const std::string& account) const -> double {
  const auto found = weights_.find(account);
  return found == weights_.end() ? 1 : found->second;
}

auto AccountShares::AddRun(const PoolAccount& owner,
                           const std::string& job,
                           const Resources& demand,
                           bool is_guaranteed,
                           core::Millis now) -> void {
  if (demand == Resources{}) {
    return;
  }
  auto& charge = charges_[job];
  if (charge.runs == 0) {
    charge.owner = owner;
    charge.is_guaranteed = is_guaranteed;
  }
  charge.in_use += demand;
  ++charge.runs;
  if (charge.is_guaranteed) {
    guaranteed_use_[charge.owner.service] += demand;
  } else {
    Change(charge.owner, demand, 1, now);
  }
}

auto AccountShares::RemoveRun(const std::string& job,
                              const Resources& demand,
                              core::Millis now) -> void {
  const auto found = charges_.find(job);
  // The end of a run that the holder has no record of has no demand.
  if (found == charges_.end() || demand == Resources{}) {
    return;
  }
  auto& charge = found->second;
  charge.in_use -= demand;
  --charge.runs;
  if (charge.is_guaranteed) {
    guaranteed_use_[charge.owner.service] -= demand;
  } else {
    Change(charge.owner, demand, -1, now);
  }
  if (charge.runs <= 0) {
    charges_.erase(found);
  }
}

auto AccountShares::SetGuaranteedJobs(
    const std::map<std::string, bool>& guaranteed_jobs,
    core::Millis now) -> void {
  for (auto& [job, charge] : charges_) {
    const auto is_guaranteed = guaranteed_jobs.contains(job);
    if (charge.has_ended || charge.is_guaranteed == is_guaranteed) {
      continue;
    }
    charge.is_guaranteed = is_guaranteed;
    auto& guaranteed = guaranteed_use_[charge.owner.service];
    if (is_guaranteed) {
      guaranteed += charge.in_use;
      Change(charge.owner, charge.in_use, -charge.runs, now);
    } else {
      guaranteed -= charge.in_use;
      Change(charge.owner, charge.in_use, charge.runs, now);
    }
  }
}

auto AccountShares::OnJobEnded(const std::string& job) -> void {
  const auto found = charges_.find(job);
  if (found != charges_.end()) {
    found->second.has_ended = true;
  }
}

auto AccountShares::MaxMinShares(const std::string& service,
                                 const Resources& total,
                                 const WaitingDemand& waiting) const
    -> std::map<std::string, double> {
  std::map<std::string, Amounts> demand;
  const auto add = [&demand](const std::string& account,
                             const Amounts& amounts) {
    auto& sum = demand[account];
    for (std::size_t index = 0; index < sum.size(); ++index) {
      sum[index] += amounts[index];
    }
  };
  for (auto usage = usages_.lower_bound({service, ""});
       usage != usages_.end() && usage->first.service == service; ++usage) {
    if (usage->second.runs > 0) {
      add(usage->first.account, AmountsOf(usage->second.current));
    }
  }
  for (const auto& [account, resources] : waiting) {
    add(account, AmountsOf(resources));
  }
  std::vector<ShareDemand> demands;
  demands.reserve(demand.size());
  for (const auto& [account, amounts] : demand) {
    demands.push_back({WeightOf(account), PartsOf(amounts, total)});
  }
  auto available = total;
  if (const auto guaranteed = guaranteed_use_.find(service);
      guaranteed != guaranteed_use_.end()) {
    available -= guaranteed->second;
  }
  const auto levels =
      MaxMinLevels(demands, PartsOf(AmountsOf(available), total));
  std::map<std::string, double> shares;
  std::size_t index = 0;
  for (const auto& [account, amounts] : demand) {
    shares[account] = levels[index++];
  }
  return shares;
}

auto AccountShares::Compare(const PoolAccount& owner,
                            const OrderGroup& group,
                            const Resources& total,
                            double max_min,
                            core::Millis now) -> AccountShare {
  auto& usage = UsageAt(owner, now);
  AccountShare share;
  share.max_min = max_min;
  share.average = DominantOf(PartsOf(usage.average, total));
  share.present = DominantOf(PartsOf(AmountsOf(usage.current), total));
  const auto found =
      std::find(usage.beyond_in.begin(), usage.beyond_in.end(), group);
  const auto was_beyond = found != usage.beyond_in.end();
  share.is_average_beyond =
      share.average > (was_beyond ? kReturnBelow * max_min : max_min);
  if (share.is_average_beyond && !was_beyond) {
    usage.beyond_in.push_back(group);
  } else if (!share.is_average_beyond && was_beyond) {
    usage.beyond_in.erase(found);
  }
  return share;
}

auto AccountShares::Prune(core::Millis now) -> void {
  std::erase_if(usages_, [now](const auto& entry) {
    const auto& usage = entry.second;
    return usage.runs == 0 &&
           now - usage.updated_at > kForgottenAfter * kAveragingMs;
  });
}

auto AccountShares::AmountsOf(const Resources& resources) -> Amounts {
  return {static_cast<double>(resources.millicores),
          static_cast<double>(resources.memory_mb),
          static_cast<double>(resources.accelerators)};
}

auto AccountShares::AverageAt(const Usage& usage, core::Millis now) const
    -> Amounts {
  const auto current = AmountsOf(usage.current);
  if (!HasEnoughData(usage.updated_at)) {
    return current;
  }
  const auto elapsed =
      static_cast<double>(std::max<core::Millis>(now - usage.updated_at, 0));
  const auto kept = std::exp(-elapsed / static_cast<double>(kAveragingMs));
  auto average = usage.average;
  for (std::size_t index = 0; index < average.size(); ++index) {
    average[index] = current[index] + (average[index] - current[index]) * kept;
  }
  return average;
}

auto AccountShares::UsageAt(const PoolAccount& owner, core::Millis now)
    -> Usage& {
  auto& usage = usages_[owner];
  usage.average = AverageAt(usage, now);
  usage.updated_at = now;
  return usage;
}

auto AccountShares::Change(const PoolAccount& owner,
                           const Resources& demand,
                           std::int64_t runs,
                           core::Millis now) -> void {
  auto& usage = UsageAt(owner, now);
  usage.runs += runs;
  if (runs > 0) {
    usage.current += demand;
  } else {
    usage.current -= demand;
  }
}

auto AccountShares::InUse() const -> Resources {
  Resources sum;
  for (const auto& [job, charge] : charges_) {
    sum += charge.in_use;
  }
  return sum;
}

}  // namespace kcm::dispatch
