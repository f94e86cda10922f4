#include "LibSchedule/failure_tracker.h"

namespace kcm::schedule {

namespace {

/// Distinct jobs and accounts that must fail on a worker to cordon it.
constexpr std::size_t kJobsToCordon = 3;
constexpr std::size_t kAccountsToCordon = 2;
/// Healthy workers on which a job must fail to be quarantined.
constexpr std::size_t kWorkersToQuarantine = 3;

/// Failures on any workers after which a job is quarantined.
constexpr int kAttemptsToQuarantine = 6;

}  // namespace

auto FailureTracker::WorkersFailedOn(const std::string& job) const
    -> const std::set<std::string>& {
  static const std::set<std::string> none;
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? none : found->second;
}

auto FailureTracker::IsBad(const std::string& worker) const -> bool {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.size() < kJobsToCordon) {
    return false;
  }
  std::set<std::string> accounts;
  for (const auto& [job, account] : found->second) {
    accounts.insert(account);
  }
  return accounts.size() >= kAccountsToCordon;
}

auto FailureTracker::RecordFailure(const std::string& job,
                                   const std::string& account,
                                   const std::string& worker) -> Finding {
  Finding finding;
  auto& failed_on = jobs_[job];
  failed_on.insert(worker);
  // A job that fails on several workers is no evidence against any of them.
  if (failed_on.size() == 1) {
    workers_[worker][job] = account;
    if (IsBad(worker)) {
      finding.bad_worker = worker;
      return finding;
    }
  } else {
    for (const auto& other : failed_on) {
      if (const auto found = workers_.find(other); found != workers_.end()) {
        if (!IsBad(other)) {
          found->second.erase(job);
        }
      }
    }
  }
  std::size_t healthy = 0;
  for (const auto& other : failed_on) {
    healthy += IsBad(other) ? 0 : 1;
  }
  if (healthy >= kWorkersToQuarantine ||
      ++attempts_[job] >= kAttemptsToQuarantine) {
    finding.bad_job = job;
  }
  return finding;
}

auto FailureTracker::RecordSuccessElsewhere(const std::string& job)
    -> std::vector<std::string> {
  std::vector<std::string> bad;
  for (const auto& worker : WorkersFailedOn(job)) {
    if (++succeeded_elsewhere_[worker] >= kJobsToCordon) {
      bad.push_back(worker);
    }
  }
  return bad;
}

}  // namespace kcm::schedule
