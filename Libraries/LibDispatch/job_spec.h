#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/reason.h"
#include "LibDispatch/queue_policy.h"
#include "LibDispatch/resources.h"

namespace kcm::dispatch {

/// One step of a job: equal tasks that may start together.
struct StepSpec {
  std::int64_t tasks = 1;
  Resources demand;
  /// Expected run time of one task, declared by the caller; a hint only.
  core::Millis estimate_ms = 0;
  /// Indices of the steps that must be done first.
  std::vector<std::int64_t> after;
  /// The tasks save checkpoints from which a later run resumes.
  bool checkpoints = false;
  /// All tasks run together or none does.
  bool gang = false;
  /// The tasks are slower when they are spread over racks.
  bool same_rack = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// Label that a worker must have; empty for any worker.
  std::string required_label;
  /// Rack that holds the tasks' data; empty for none.
  std::string data_rack;
  /// Maximum number of the step's tasks on one worker; zero for no limit.
  std::int64_t max_per_worker = 0;
};

/// Calls a function with the name and the member of each field of a step.
template <typename Function>
auto ForEachField(Function function) -> void {
  function("tasks", &StepSpec::tasks);
  function("demand", &StepSpec::demand);
  function("estimate_ms", &StepSpec::estimate_ms);
  function("after", &StepSpec::after);
  function("checkpoints", &StepSpec::checkpoints);
  function("gang", &StepSpec::gang);
  function("same_rack", &StepSpec::same_rack);
  function("long_running", &StepSpec::long_running);
  function("required_label", &StepSpec::required_label);
  function("data_rack", &StepSpec::data_rack);
  function("max_per_worker", &StepSpec::max_per_worker);
}

/// Leaves out the fields that have their defaults: the row of a job has to fit
/// into a record of the store, and a caller may name very many short steps.
auto to_json(core::Json& document, const StepSpec& step) -> void;
/// Fields that are missing have their defaults.
auto from_json(const core::Json& document, StepSpec& step) -> void;

/// A job as submitted by its caller.
struct JobSpec {
  std::string id;
  std::string queue;
  /// Client account of the caller; empty on a public queue.
  std::string account;
  /// Opaque text passed to the tasks.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences; zero to run once, immediately.
  std::int64_t repeats = 0;
  /// Due time of the first occurrence, since the Unix epoch.
  core::Millis first_due_at = 0;
  core::Millis period_ms = 0;
  /// When the job was accepted, since the Unix epoch.
  core::Millis accepted_at = 0;
  /// The queue's policy at acceptance; still applies if the queue is removed.
  QueuePolicy policy;
};

KCM_JSON(JobSpec,
         id,
         queue,
         account,
         payload,
         steps,
         repeats,
         first_due_at,
         period_ms,
         accepted_at,
         policy)

/// Most tasks of a job in all its occurrences; bounds the cost of one
/// submission: 100 times the largest known job.
inline constexpr std::int64_t kMaxTasksPerJob = 10000;

/// @return whether a job can be handled: it has tasks, at most
///     kMaxTasksPerJob, each step depends on earlier ones only, and no product
///     or sum of its numbers overflows. If not, `reason` names the member.
[[nodiscard]] auto CheckJobSpec(const JobSpec& spec, core::Reason& reason)
    -> bool;

}  // namespace kcm::dispatch
