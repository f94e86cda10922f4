#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibDispatch/job.h"
#include "LibSchedule/run_time_distribution.h"

namespace kcm::dispatch {

/// Class of a waiting job; jobs of an earlier class are placed first.
enum class JobTier : std::uint8_t {
  /// Covered by a guarantee of its account.
  kGuaranteed,
  /// Can still end, or nearly, within its latency objective (see QueuePolicy);
  /// or is long-running.
  kInTime,
  /// Will miss its objective but end within three times that time, up to which
  /// its result is of some use.
  kLate,
  /// Will end even later, of no use to its caller; still run because it was
  /// accepted.
  kExpired,
};

/// Sort key of a waiting job; the smallest is placed first.
struct JobRank {
  JobTier tier = JobTier::kInTime;
  std::int64_t priority = 0;
  /// Slack in tier kInTime, remaining work in kLate and kExpired, due time in
  /// kGuaranteed.
  double order = 0;
  /// Acceptance time or, on a schedule, due time; since the Unix epoch.
  core::Millis due_at = 0;
  /// How long it can wait and still end in time; negative if it cannot.
  core::Millis slack_ms = 0;

  auto operator<=>(const JobRank&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// @return the expected run time of one task of a step.
[[nodiscard]] auto ExpectedRunMs(const Job& job,
                                 const StepSpec& step,
                                 const schedule::RunTimeDistribution& estimates)
    -> core::Millis;

/// @return the expected run time of the critical path of one occurrence.
/// @param whole also counts the steps that are done.
[[nodiscard]] auto LongestChainMs(
    const Job& job,
    std::int64_t occurrence,
    const schedule::RunTimeDistribution& estimates,
    bool whole) -> core::Millis;

/// Ranks one occurrence of a job.
/// @param now since the Unix epoch.
[[nodiscard]] auto RankOf(const Job& job,
                          std::int64_t occurrence,
                          const QueuePolicy& policy,
                          const schedule::RunTimeDistribution& estimates,
                          bool guaranteed,
                          core::Millis now) -> JobRank;

}  // namespace kcm::dispatch
