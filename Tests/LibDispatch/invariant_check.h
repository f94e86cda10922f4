#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/job_spec.h"
#include "LibDispatch/queue_policy.h"
#include "LibDispatch/worker_call.h"
#include "fake_worker.h"

namespace kcm::dispatch {

/// Checks a dispatcher's calls against what callers were told and workers did.
class InvariantCheck {
 public:
  explicit InvariantCheck(std::map<std::string, QueuePolicy> queues)
      : queues_(std::move(queues)) {}

  auto OnSubmit(const JobSpec& spec) -> void { submitted[spec.id] = spec; }

  /// The job was reported to its caller as refused.
  auto OnRefused(const std::string& job) -> void { refused_.insert(job); }

  /// @param batch batch that must be stored before the caller is answered.
  auto OnCancel(const std::string& job, std::uint64_t batch) -> void {
    unstored_cancels_[job] = batch;
  }

  auto OnStored(std::uint64_t batch) -> void {
    for (const auto& [job, number] : unstored_cancels_) {
      if (number <= batch) {
        cancelled_.insert(job);
      }
    }
  }

  /// Drops cancellations that the former holder had not stored.
  auto OnNewHolder() -> void { unstored_cancels_.clear(); }

  /// Checks a start against the holder's state when it is sent.
  auto OnStartSent(const StartCall& start, core::Millis now) -> void {
    const auto& task = start.task;
    const auto& job = submitted.at(task.job);
    Require(start.payload == job.payload, "wrong payload", task, now);
    Require(!refused_.contains(job.id), "refused", task, now);
    Require(!cancelled_.contains(job.id), "cancelled", task, now);
    Require(SpecOf(task).long_running ||
                acknowledged_failures_[CountedTask(task)].size() <
                    MaxAttempts(task),
            "out of attempts", task, now);
    Require(
        start.checkpoint.empty() ||
            start.checkpoint.starts_with(CheckpointPrefix(CountedTask(task))),
        "checkpoint of another task: " + start.checkpoint, task, now);
  }

  /// Checks a start that a worker has executed.
  /// @param running number of existing runs of the task.
  auto OnStart(const StartCall& start, int running, core::Millis now) -> void {
    const auto& task = start.task;
    ++starts[task];
    Require(running == 0, "while another run exists", task, now);
    if (crashes_by_[task] >= kCrashesBeforeLastStarts) {
      Require(++last_starts_[task] <= kMaxLastStarts,
              "a deadly task started too often", task, now);
    }
    Require(!acknowledged_done_.contains(task), "after its end", task, now);
    last_start_[task] = now;
    for (const auto before : SpecOf(task).after) {
      const auto& earlier =
          submitted.at(task.job).steps[static_cast<std::size_t>(before)];
      for (std::int64_t index = 0; index < earlier.tasks; ++index) {
        Require(done.contains({task.job, task.occurrence, before, index}),
                "out of order", task, now);
      }
    }
  }

  /// @return whether a worker has begun a run of a task of the job.
  [[nodiscard]] auto HasBegun(const std::string& job) const -> bool {
    const auto first = starts.lower_bound(TaskId{job, 0, 0, 0});
    return first != starts.end() && first->first.job == job;
  }

  /// Fails: not every worker rejects a start that exceeds its capacity.
  auto OnNoCapacity(const TaskId& task, core::Millis now) -> void {
    Require(false, "over the capacity", task, now);
  }

  auto OnEnd(const FakeRun& run, RunEnd how, core::Millis now) -> void {
    ended_at_[{run.task, run.attempt}] = now;
    if (how == RunEnd::kDone) {
      done.insert(run.task);
    } else if (how == RunEnd::kFailed) {
      failed_[CountedTask(run.task)].insert(run.attempt);
    }
  }

  /// A worker crashed while the run was on it.
  /// @param culprit the task that crashed it; nothing if none did.
  auto OnCrash(const FakeRun& run, const std::optional<TaskId>& culprit)
      -> void {
    ++crashes_under_[CountedTask(run.task)];
    if (run.task == culprit) {
      ++crashes_by_[run.task];
    }
  }

  /// Checks starts against an end that a holder has acknowledged.
  auto OnAcknowledged(const EndReport& end, core::Millis now) -> void {
    if (SpecOf(end.task).long_running) {
      // It is run again regardless of how it ended.
      return;
    }
    const auto ended_at = ended_at_[{end.task, end.attempt}];
    if (end.how == RunEnd::kDone) {
      acknowledged_done_.insert(end.task);
      Require(last_start_[end.task] <= ended_at,
              "after an end that was acknowledged later", end.task, now);
    } else if (end.how == RunEnd::kFailed) {
      auto& failed = acknowledged_failures_[CountedTask(end.task)];
      failed[end.attempt] = ended_at;
      Require(failed.size() < MaxAttempts(end.task) ||
                  last_start_[end.task] <= failed.rbegin()->second,
              "after the last attempt failed", end.task, now);
    }
  }

  /// Checks that a job fails only if one of its tasks used up its attempts, or
  /// if two workers crashed under one.
  auto OnJobFailed(const std::string& job, core::Millis now) -> void {
    const auto used_up =
        std::any_of(failed_.begin(), failed_.end(), [&](const auto& entry) {
          return entry.first.job == job &&
                 entry.second.size() >= MaxAttempts(entry.first);
        });
    const auto may_give_up = std::any_of(
        crashes_under_.begin(), crashes_under_.end(), [&](const auto& entry) {
          return entry.first.job == job &&
                 entry.second >= kCrashesBeforeGivingUp;
        });
    Require(used_up || may_give_up, "failed with attempts left", {job, 0, 0, 0},
            now);
  }

  [[nodiscard]] auto SpecOf(const TaskId& task) const -> const StepSpec& {
    return submitted.at(task.job).steps[static_cast<std::size_t>(task.step)];
  }

  std::map<std::string, JobSpec> submitted;
  std::map<TaskId, int> starts;
  std::set<TaskId> done;
  /// Descriptions of the violated invariants.
  std::vector<std::string> violations;

 private:
  static constexpr int kCrashesBeforeGivingUp = 2;
  /// A task that crashed this many workers may be started so often again.
  static constexpr int kCrashesBeforeLastStarts = 3;
  static constexpr int kMaxLastStarts = 2;

  auto Require(bool holds,
               const std::string& what,
               const TaskId& task,
               core::Millis now) -> void {
    if (!holds) {
      violations.push_back(
          what + ": " + task.job + "." + std::to_string(task.step) + "." +
          std::to_string(task.index) + " at " + std::to_string(now));
    }
  }

  /// @return the task on which failures are counted: the first of a gang.
  [[nodiscard]] auto CountedTask(TaskId task) const -> TaskId {
    task.index = SpecOf(task).gang ? 0 : task.index;
    return task;
  }

  [[nodiscard]] auto MaxAttempts(const TaskId& task) const -> std::size_t {
    const auto& queue = submitted.at(task.job).queue;
    return static_cast<std::size_t>(queues_.at(queue).max_attempts);
  }

  std::map<std::string, QueuePolicy> queues_;
  std::set<std::string> refused_;
  /// Jobs whose cancellation is stored, and the batches of the others.
  std::set<std::string> cancelled_;
  std::map<std::string, std::uint64_t> unstored_cancels_;
  /// Crashes of workers on which a task ran, and those that the task caused.
  std::map<TaskId, int> crashes_under_;
  std::map<TaskId, int> crashes_by_;
  std::map<TaskId, int> last_starts_;
  std::map<TaskId, core::Millis> last_start_;
  /// End times of the runs that were not stopped.
  std::map<FakeWorker::Key, core::Millis> ended_at_;
  std::set<TaskId> acknowledged_done_;
  std::map<TaskId, std::set<std::int64_t>> failed_;
  /// Failed attempts that a holder acknowledged, and when they failed.
  std::map<TaskId, std::map<std::int64_t, core::Millis>> acknowledged_failures_;
};

}  // namespace kcm::dispatch
