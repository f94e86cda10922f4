#include "LibDispatch/job_order.h"

#include <algorithm>
#include <span>
#include <vector>

namespace kcm::dispatch {

namespace {

/// Share of the remaining critical path by which a job may miss its objective
/// before it counts as late: callers declare run times only roughly.
constexpr double kEstimateTolerance = 0.3;
/// A result is of some use up to this many times the objective.
constexpr double kUsefulObjectives = 3;

/// @return the steps of one occurrence.
auto StepsOf(const Job& job, std::int64_t occurrence) -> std::span<const Step> {
  const auto count = job.spec.steps.size();
  return std::span(job.steps).subspan(
      static_cast<std::size_t>(occurrence) * count, count);
}

auto WorkLeft(const Job& job,
              std::span<const Step> steps,
              const schedule::RunTimeDistribution& estimates) -> double {
  double work = 0;
  for (const auto& step : steps) {
    const auto& spec = job.SpecOf(step);
    const auto left = spec.tasks - step.done;
    work += static_cast<double>(
        left *
        estimates.MeanMs(job.spec.queue,
                         std::max<core::Millis>(spec.estimate_ms, 1)) *
        std::max<std::int64_t>(spec.demand.accelerators, 1));
  }
  return work;
}

}  // namespace

auto ExpectedRunMs(const Job& job,
                   const StepSpec& step,
                   const schedule::RunTimeDistribution& estimates)
    -> core::Millis {
  return std::max<core::Millis>(
      estimates.MedianMs(job.spec.queue,
                         std::max<core::Millis>(step.estimate_ms, 1)),
      1);
}

auto LongestChainMs(const Job& job,
                    std::int64_t occurrence,
                    const schedule::RunTimeDistribution& estimates,
                    bool whole) -> core::Millis {
  const auto steps = StepsOf(job, occurrence);
  std::vector<core::Millis> ends(steps.size());
  core::Millis longest = 0;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    const auto& step = steps[index];
    const auto& spec = job.SpecOf(step);
    core::Millis begin = 0;
    for (const auto before : spec.after) {
      begin = std::max(begin, ends[static_cast<std::size_t>(before)]);
    }
    const auto is_done =
        !whole && step.done == static_cast<std::int64_t>(step.tasks.size());
    ends[index] = begin + (is_done ? 0 : ExpectedRunMs(job, spec, estimates));
    longest = std::max(longest, ends[index]);
  }
  return longest;
}

auto RankOf(const Job& job,
            std::int64_t occurrence,
            const QueuePolicy& policy,
            const schedule::RunTimeDistribution& estimates,
            bool guaranteed,
            core::Millis now) -> JobRank {
  const auto steps = StepsOf(job, occurrence);
  const auto chain =
      static_cast<double>(LongestChainMs(job, occurrence, estimates, true));
  const auto left =
      static_cast<double>(LongestChainMs(job, occurrence, estimates, false));
  const auto objective = policy.slack_factor * chain +
                         static_cast<double>(policy.target_latency_ms);
  const auto due_at = std::max(job.spec.accepted_at, steps.front().due_at);
  const auto age = static_cast<double>(now - due_at);
  const auto slack = objective - age - left;
  JobRank rank;
  rank.priority = policy.priority;
  rank.due_at = due_at;
  rank.slack_ms = static_cast<core::Millis>(slack);
  if (guaranteed) {
    // Guaranteed work must start within a fixed time of its acceptance.
    rank.tier = JobTier::kGuaranteed;
    rank.order = static_cast<double>(due_at);
    return rank;
  }
  // A long-running task is of use whenever it starts.
  const auto is_long_running =
      std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                  [](const StepSpec& step) { return step.long_running; });
  if (is_long_running || slack > -kEstimateTolerance * left) {
    rank.tier = JobTier::kInTime;
    rank.order = slack;
    return rank;
  }
  rank.tier = age + left < kUsefulObjectives * objective ? JobTier::kLate
                                                         : JobTier::kExpired;
  rank.order = WorkLeft(job, steps, estimates);
  return rank;
}

}  // namespace kcm::dispatch
