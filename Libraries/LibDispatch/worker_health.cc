#include "LibDispatch/worker_health.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

/// Jobs that must fail on a worker, with no completed run in between, before it
/// is cordoned: a single job may itself be at fault.
constexpr std::size_t kJobsToCordon = 2;
/// Worker faults last seconds; afterwards the worker is used again.
constexpr core::Millis kCordonMs = 8000;
/// Most workers, as a part of the fleet, that are cordoned for a single run:
/// jobs that can never be done may also fail at once.
constexpr std::size_t kMaxSuspectedPart = 10;
/// Pause after a refused start, which loses no work.
constexpr core::Millis kRefusalPauseMs = 500;
/// A worker that crashes again within this time may do so by itself.
constexpr core::Millis kCrashLoopMs = 10000;

}  // namespace

auto WorkerHealth::RecordFailure(const std::string& worker,
                                 const std::string& job,
                                 bool at_once,
                                 core::Millis now) -> bool {
  if (at_once) {
    failed_at_once_at_ = now;
  }
  const auto is_suspected = at_once && MaySuspect(now);
  auto& record = records_[worker];
  record.failed_jobs.insert(job);
  const auto is_proven = record.failed_jobs.size() >= kJobsToCordon;
  if (!is_proven && !is_suspected) {
    return false;
  }
  if (is_proven) {
    record.failed_jobs.clear();
  }
  record.is_suspected = !is_proven;
  record.cordoned_until = now + kCordonMs;
  return true;
}

auto WorkerHealth::MaySuspect(core::Millis now) const -> bool {
  const auto suspected =
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        return entry.second.is_suspected && now < entry.second.cordoned_until;
      });
  return static_cast<std::size_t>(suspected) * kMaxSuspectedPart < fleet_size_;
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

auto WorkerHealth::RecordCrash(const std::string& address,
                               bool is_explained,
                               core::Millis now) -> bool {
  const auto is_weak =
      now - watched_since_ < kCrashLoopMs || HasCrashed(address, now) ||
      (unexplained_crash_at_ && now - *unexplained_crash_at_ < kCrashLoopMs);
  crashed_at_[address] = now;
  if (!is_explained) {
    unexplained_crash_at_ = now;
  }
  return is_weak;
}

auto WorkerHealth::HasCrashed(const std::string& address,
                              core::Millis now) const -> bool {
  const auto found = crashed_at_.find(address);
  return found != crashed_at_.end() && now - found->second < kCrashLoopMs;
}

auto WorkerHealth::RecordSuccess(const std::string& worker,
                                 core::Millis began_at) -> void {
  auto& record = records_[worker];
  record.failed_jobs.clear();
  record.proven_at = std::max(record.proven_at, began_at);
}

auto WorkerHealth::ProvenAt(const std::string& worker) const -> core::Millis {
  const auto found = records_.find(worker);
  return found == records_.end() ? 0 : found->second.proven_at;
}

auto WorkerHealth::IsCordoned(const std::string& worker, core::Millis now) const
    -> bool {
  const auto found = records_.find(worker);
  return found != records_.end() && now < found->second.cordoned_until;
}

}  // namespace kcm::dispatch
