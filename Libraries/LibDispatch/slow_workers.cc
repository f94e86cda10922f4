#include "LibDispatch/slow_workers.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

/// Fewest runs of a step whose median is taken for the usual speed.
constexpr std::size_t kLeastRuns = 4;
/// A run of less than a third of the usual speed is slow, one of more than half
/// is not: tasks of a step differ by up to a third.
constexpr double kSlowFactor = 3;
constexpr double kSoundFactor = 2;
/// How long a worker counts as slow after the last sign of it.
constexpr core::Millis kSlowMs = 3000;
/// Slow workers are avoided if they are at most this part of the fleet.
constexpr std::size_t kMaxAvoidedPart = 3;

}  // namespace

auto SlowWorkers::IsSlow(const Record& record, core::Millis now) -> bool {
  return record.slow_at > record.sound_at && now - record.slow_at < kSlowMs;
}

auto SlowWorkers::Compare(const std::vector<RunSpeed>& runs, core::Millis now)
    -> void {
  if (runs.size() < kLeastRuns) {
    return;
  }
  std::vector<double> speeds;
  speeds.reserve(runs.size());
  for (const auto& run : runs) {
    speeds.push_back(run.speed);
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  const auto usual = *middle;
  if (usual <= 0) {
    return;
  }
  for (const auto& run : runs) {
    if (run.speed * kSoundFactor > usual) {
      records_[run.worker].sound_at = now;
    } else if (run.speed * kSlowFactor < usual) {
      records_[run.worker].slow_at = now;
    }
  }
}

auto SlowWorkers::TakeFound(core::Millis now) -> std::vector<std::string> {
  std::vector<std::string> found;
  for (auto& [worker, record] : records_) {
    const auto is_slow = IsSlow(record, now);
    if (is_slow && !record.found) {
      found.push_back(worker);
    }
    record.found = is_slow;
  }
  return found;
}

auto SlowWorkers::IsSlow(const std::string& worker, core::Millis now) const
    -> bool {
  const auto found = records_.find(worker);
  return found != records_.end() && IsSlow(found->second, now);
}

auto SlowWorkers::MayAvoid(core::Millis now) const -> bool {
  const auto slow = std::count_if(
      records_.begin(), records_.end(),
      [&](const auto& entry) { return IsSlow(entry.second, now); });
  return static_cast<std::size_t>(slow) * kMaxAvoidedPart <= fleet_size_;
}

}  // namespace kcm::dispatch
