#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibDispatch/job.h"
#include "LibSchedule/run_time_estimate.h"

namespace kcm::dispatch {

/// What a job can still be worth to its caller.
enum class JobTier : std::uint8_t {
  /// Owed to its account by a guarantee.
  kGuaranteed,
  /// Can still end within its objective.
  kInTime,
  /// Too late for its objective, and still of some use.
  kLate,
  /// Of no use to its caller any more, but accepted.
  kExpired,
};

/// Where a job stands among those that wait; less comes first.
struct JobRank {
  JobTier tier = JobTier::kInTime;
  std::int64_t priority = 0;
  /// The span for which a job in time can wait, the work left of a later one,
  /// and the time at which owed work was wanted.
  double order = 0;
  /// When it was accepted or, on a schedule, due; since the Unix epoch.
  core::Millis wanted_at = 0;
  /// Span for which it can wait and still end in time; negative when it cannot.
  core::Millis spare_ms = 0;

  auto operator<=>(const JobRank&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// @return the run time to expect of one task of a step.
[[nodiscard]] auto ExpectedRunMs(const Job& job,
                                 const StepSpec& step,
                                 const schedule::RunTimeEstimate& estimates)
    -> core::Millis;

/// @return the longest chain of expected run times in one occurrence.
/// @param whole also counts the steps that are done.
[[nodiscard]] auto LongestChainMs(const Job& job,
                                  std::int64_t occurrence,
                                  const schedule::RunTimeEstimate& estimates,
                                  bool whole) -> core::Millis;

/// Ranks one occurrence of a job.
/// @param now since the Unix epoch.
[[nodiscard]] auto RankOf(const Job& job,
                          std::int64_t occurrence,
                          const QueuePolicy& policy,
                          const schedule::RunTimeEstimate& estimates,
                          bool guaranteed,
                          core::Millis now) -> JobRank;

}  // namespace kcm::dispatch
