#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/job_phase.h"
#include "LibDispatch/job_spec.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

/// How far a task has come.
enum class TaskPhase : std::uint8_t {
  kWaiting,
  /// A run may exist on the worker named.
  kPlaced,
  kDone,
};

/// One task and its newest run.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the newest run; zero before the first.
  std::int64_t attempt = 0;
  /// Runs that ended as failed. A gang counts on its first task.
  std::int64_t failures = 0;
  /// Number of the newest run counted as failed, so that an end that is
  /// reported twice counts once.
  std::int64_t failed_attempt = 0;
  /// Worker of the newest run and its life.
  std::string worker;
  std::int64_t life = 0;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  /// The task has a row in the store.
  bool stored = false;
  /// Workers on which a run of it failed or hung.
  std::set<std::string> avoid;
};

/// One occurrence of one step.
struct Step {
  std::size_t spec = 0;
  std::int64_t occurrence = 0;
  /// Earliest start, since the Unix epoch.
  core::Millis due_at = 0;
  std::vector<Task> tasks;
  std::int64_t done = 0;
};

/// A job with the progress of its tasks.
struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  core::Millis ended_at = 0;
  /// By occurrence, then by step.
  std::vector<Step> steps;
  /// The batch of rows that holds the job's newest row.
  std::uint64_t batch = 0;

  /// @return the step of a task, or nothing for a name that is none of ours.
  [[nodiscard]] auto FindStep(const TaskId& id) -> Step*;
  [[nodiscard]] auto FindTask(const TaskId& id) -> Task*;

  [[nodiscard]] auto SpecOf(const Step& step) const -> const StepSpec& {
    return spec.steps[step.spec];
  }

  /// @return whether all steps that come before are done.
  [[nodiscard]] auto IsUnlocked(const Step& step) const -> bool;

  [[nodiscard]] auto IsDone() const -> bool;

  [[nodiscard]] auto IdOf(const Step& step, std::size_t index) const -> TaskId {
    return {spec.id, step.occurrence, static_cast<std::int64_t>(step.spec),
            static_cast<std::int64_t>(index)};
  }
};

/// Makes a job of which nothing has run.
[[nodiscard]] auto MakeJob(JobSpec spec) -> Job;

}  // namespace kcm::dispatch
