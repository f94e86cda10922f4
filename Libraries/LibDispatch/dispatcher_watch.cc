// Stops hung runs and runs on leaving workers.

#include <algorithm>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// A run whose percentage is unchanged for two polls is hung: at a seventh of
/// the usual speed, the users' longest runs gain a percent in 800 ms.
constexpr core::Millis kHungMs = 2000;
/// How long before a worker leaves its runs are stopped to save a checkpoint:
/// covers the age of its listing, the grace period of a stop and the poll that
/// returns the checkpoint.
constexpr core::Millis kCheckpointLeadMs = 1000;
/// A run without checkpoints is stopped if it would end this long after its
/// worker leaves: workers stay somewhat longer than announced, and percentages
/// are whole numbers.
constexpr core::Millis kGiveUpMarginMs = 500;

}  // namespace

auto Dispatcher::StopHungRuns(ClockReading now) -> void {
  std::vector<TaskId> hung;
  for (const auto& [id, session] : sessions_) {
    ++load_.sessions;
    for (const auto& [task, run] : session.runs()) {
      ++load_.runs;
      if (run.phase != RunPhase::kRunning || run.percent >= kWholePercent ||
          !session.is_answering() || run.StalledMs() <= kHungMs) {
        continue;
      }
      const auto* job = job_table_.FindJob(task.job);
      if (job != nullptr && !IsEnded(job->phase)) {
        hung.push_back(task);
      }
    }
  }
  for (const auto& id : hung) {
    auto* job = job_table_.FindJob(id.job);
    auto* step = job->FindStep(id);
    const auto& spec = job->SpecOf(*step);
    auto* task = job->FindTask(id);
    if (task->phase != TaskPhase::kPlaced || spec.long_running) {
      continue;
    }
    step->tasks[spec.gang ? 0 : static_cast<std::size_t>(id.index)]
        .avoid.insert(task->worker);
    if (!spec.gang) {
      // If one member of a gang hangs, all members stop making progress.
      health_.RecordHang(task->worker, now.steady);
    }
    RecordDecision(core::Event::kRunHung, {{"job", id.job},
                                           {"task", id.index},
                                           {"attempt", task->attempt},
                                           {"worker", task->worker}});
    StopRun(id, StopCause::kHung, now);
  }
}

auto Dispatcher::TakeRunsOfLeftWorker(WorkerSession& session, ClockReading now)
    -> std::vector<EndedRun> {
  std::vector<TaskId> gone;
  if (!session.may_have_left(now.steady)) {
    return {};
  }
  for (const auto& [task, run] : session.runs()) {
    auto* job = job_table_.FindJob(task.job);
    const auto* step = job == nullptr ? nullptr : job->FindStep(task);
    const auto is_broken =
        step != nullptr && run.attempt <= step->broken_attempt;
    // A start without an answer may reach a later life of the worker.
    if ((is_broken || session.has_left(now.steady)) && !run.start_unanswered) {
      gone.push_back(task);
    }
  }
  std::vector<EndedRun> ended;
  ended.reserve(gone.size());
  for (const auto& task : gone) {
    ended.push_back(session.DropRun(task));
  }
  return ended;
}

auto Dispatcher::ExpectedEndOf(const Run& run,
                               const Job& job,
                               const StepSpec& spec,
                               ClockReading now) const -> core::Millis {
  if (!run.started_at) {
    return now.steady + ExpectedRunMs(job, spec, estimates_);
  }
  if (run.percent <= 0) {
    return now.steady +
           estimates_.RemainingMs(job.spec.queue,
                                  std::max<core::Millis>(spec.estimate_ms, 1),
                                  now.steady - *run.started_at);
  }
  const auto rest = static_cast<core::Millis>(
      static_cast<double>(ExpectedRunMs(job, spec, estimates_)) *
      (kWholePercent - run.percent) / kWholePercent);
  return std::max(run.reported_at + run.RemainingMs().value_or(rest),
                  now.steady);
}

auto Dispatcher::ShouldStopBeforeLeave(const Run& run,
                                       core::Millis leaves_at,
                                       ClockReading now) const -> bool {
  const auto* job = job_table_.FindJob(run.task.job);
  if (job == nullptr || IsEnded(job->phase) ||
      run.phase != RunPhase::kRunning) {
    return false;
  }
  const auto& spec = job->spec.steps[static_cast<std::size_t>(run.task.step)];
  const auto end = ExpectedEndOf(run, *job, spec, now);
  if (spec.long_running || end <= leaves_at) {
    return false;
  }
  if (spec.checkpoints) {
    return now.steady >= leaves_at - kCheckpointLeadMs;
  }
  // Without reported progress the expected end is unreliable.
  return run.RemainingMs() && end > leaves_at + kGiveUpMarginMs;
}

auto Dispatcher::StopRunsOnLeavingWorkers(ClockReading now) -> void {
  std::vector<TaskId> leaving;
  for (const auto& [id, session] : sessions_) {
    ++load_.sessions;
    if (!session.leaves_at()) {
      continue;
    }
    for (const auto& [task, run] : session.runs()) {
      ++load_.runs;
      if (ShouldStopBeforeLeave(run, *session.leaves_at(), now)) {
        leaving.push_back(task);
      }
    }
  }
  for (const auto& id : leaving) {
    auto* job = job_table_.FindJob(id.job);
    auto* step = job->FindStep(id);
    const auto* task = job->FindTask(id);
    if (task->phase != TaskPhase::kPlaced) {
      continue;
    }
    RecordDecision(core::Event::kRunMoved, {{"job", id.job},
                                            {"task", id.index},
                                            {"attempt", task->attempt},
                                            {"worker", task->worker}});
    if (job->SpecOf(*step).gang) {
      StopStep(*job, *step, StopCause::kWorkerLeaves, now);
    } else {
      StopRun(id, StopCause::kWorkerLeaves, now);
    }
  }
}

}  // namespace kcm::dispatch
