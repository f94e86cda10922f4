#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/crash_evidence.h"
#include "LibDispatch/job_phase.h"
#include "LibDispatch/job_spec.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

enum class TaskPhase : std::uint8_t {
  kWaiting,
  /// A run may exist on the task's worker.
  kPlaced,
  kDone,
};

/// A task and its newest run.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the newest run; zero before the first.
  std::int64_t attempt = 0;
  /// Failed runs; those of a gang are counted on its first task.
  std::int64_t failures = 0;
  /// Newest attempt counted as failed, so that an end that is reported twice
  /// counts once.
  std::int64_t failed_attempt = 0;
  /// Worker of the newest run and its incarnation.
  std::string worker;
  std::int64_t incarnation = 0;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  /// A run of it has begun. Set only for the task whose run was the first of
  /// the job's to be known.
  bool has_begun = false;
  /// The task has a durable row.
  bool stored = false;
  /// Workers on which a run of the task failed or hung.
  std::set<std::string> avoid;
  /// When its last attempt but one failed at once, on the steady clock; nothing
  /// if it did not. Not stored: after a takeover the attempt is made at once.
  std::optional<core::Millis> held_since;
  CrashEvidence crash_evidence;
  /// Since when it waits, as a suspect, for a worker of its own, on the steady
  /// clock; nothing if it does not.
  std::optional<core::Millis> isolated_since;
  /// How often it was moved off a slow worker; a gang's on its first task.
  int slow_moves = 0;
};

/// The tasks of one step of the specification in one occurrence of the job. A
/// job on a schedule runs all its steps anew at each due time: each such
/// repetition is an occurrence. Other jobs have one.
struct Step {
  /// Index of the step in the job's specification.
  std::size_t spec = 0;
  std::int64_t occurrence = 0;
  /// Earliest start, since the Unix epoch.
  core::Millis due_at = 0;
  std::vector<Task> tasks;
  /// Number of tasks that are done.
  std::int64_t done = 0;
  /// Since when its waiting tasks fit outside of the rack that they prefer, on
  /// the steady clock; nothing if they do not, or prefer none. Not stored:
  /// after a takeover the wait begins anew.
  std::optional<core::Millis> fits_elsewhere_since;
  /// Newest attempt of a gang of which a member ended since another one had.
  std::int64_t broken_attempt = 0;
};

/// A job and the progress of its tasks.
struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  /// A worker has shown that a run of one of its tasks began. A task that is
  /// placed may never begin: its start may be refused or lost.
  bool has_begun = false;
  core::Millis ended_at = 0;
  /// Ordered by occurrence, then by step.
  std::vector<Step> steps;
  /// Batch that contains the job's newest row.
  std::uint64_t batch = 0;
  /// What AcceptedWork counts for it.
  std::size_t bytes = 0;
  /// Some task has crash evidence.
  bool has_crash_evidence = false;
  /// Some task was the only candidate for a crash. Since the tasks of a job are
  /// alike, all of them are suspects then.
  bool has_only_candidate = false;

  /// Takes over the evidence of one of the tasks.
  auto NoteEvidence(const CrashEvidence& evidence) -> void {
    has_crash_evidence |= evidence.crashes > 0;
    has_only_candidate |= evidence.as_only_candidate > 0;
  }

  /// Records that a run has begun.
  auto NoteBegun() -> void {
    has_begun = true;
    phase = phase == JobPhase::kQueued ? JobPhase::kRunning : phase;
  }

  /// @return the step of a task, or null if the job has no such step.
  [[nodiscard]] auto FindStep(const TaskId& id) -> Step*;
  [[nodiscard]] auto FindTask(const TaskId& id) -> Task*;

  [[nodiscard]] auto SpecOf(const Step& step) const -> const StepSpec& {
    return spec.steps[step.spec];
  }

  /// @return whether all steps that it depends on are done.
  [[nodiscard]] auto IsUnblocked(const Step& step) const -> bool;

  /// @return whether all tasks of all occurrences are done.
  [[nodiscard]] auto IsDone() const -> bool;

  [[nodiscard]] auto IdOf(const Step& step, std::size_t index) const -> TaskId {
    return {spec.id, step.occurrence, static_cast<std::int64_t>(step.spec),
            static_cast<std::int64_t>(index)};
  }
};

/// @return a new job whose tasks are all waiting.
[[nodiscard]] auto MakeJob(JobSpec spec) -> Job;

}  // namespace kcm::dispatch
