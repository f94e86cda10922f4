#include "LibDispatch/worker_health.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

/// Jobs that must fail on a worker, with no completed run in between, before it
/// is cordoned: a single job may itself be at fault.
constexpr std::size_t kJobsToCordon = 2;
/// Worker faults last seconds; afterwards the worker is used again.
constexpr core::Millis kCordonMs = 8000;
/// Pause after a refused start, which loses no work.
constexpr core::Millis kRefusalPauseMs = 500;

}  // namespace

auto WorkerHealth::RecordFailure(const std::string& worker,
                                 const std::string& job,
                                 core::Millis now) -> bool {
  auto& record = records_[worker];
  record.failed_jobs.insert(job);
  if (record.failed_jobs.size() < kJobsToCordon) {
    return false;
  }
  record.failed_jobs.clear();
  record.cordoned_until = now + kCordonMs;
  return true;
}

auto WorkerHealth::RecordHang(const std::string& worker, core::Millis now)
    -> void {
  records_[worker].cordoned_until = now + kCordonMs;
}

auto WorkerHealth::RecordRefusal(const std::string& worker, core::Millis now)
    -> void {
  auto& record = records_[worker];
  record.cordoned_until =
      std::max(record.cordoned_until, now + kRefusalPauseMs);
}

auto WorkerHealth::RecordSuccess(const std::string& worker) -> void {
  if (const auto found = records_.find(worker); found != records_.end()) {
    found->second.failed_jobs.clear();
  }
}

auto WorkerHealth::IsCordoned(const std::string& worker, core::Millis now) const
    -> bool {
  const auto found = records_.find(worker);
  return found != records_.end() && now < found->second.cordoned_until;
}

}  // namespace kcm::dispatch
