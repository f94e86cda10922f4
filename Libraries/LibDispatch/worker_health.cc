#include "LibDispatch/worker_health.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

/// Jobs that have to fail on a worker, with none ending well in between,
/// before it is cordoned: one job alone may be at fault itself.
constexpr std::size_t kJobsToCordon = 2;
/// A worker's trouble lasts seconds; afterwards it is tried again.
constexpr core::Millis kCordonMs = 8000;
/// Pause after a refusal, which costs no work.
constexpr core::Millis kRefusalPauseMs = 500;

}  // namespace

auto WorkerHealth::Failed(const std::string& worker,
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

auto WorkerHealth::Hung(const std::string& worker, core::Millis now) -> void {
  records_[worker].cordoned_until = now + kCordonMs;
}

auto WorkerHealth::Refused(const std::string& worker, core::Millis now)
    -> void {
  auto& record = records_[worker];
  record.cordoned_until =
      std::max(record.cordoned_until, now + kRefusalPauseMs);
}

auto WorkerHealth::Succeeded(const std::string& worker) -> void {
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
