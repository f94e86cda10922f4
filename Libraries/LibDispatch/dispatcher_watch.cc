// Which runs are better stopped: hung ones, and those of leaving workers.

#include <algorithm>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// A run whose percentage stands still for two looks is hung: at a seventh of
/// the usual speed the longest runs of our users gain a percent in 800 ms.
constexpr core::Millis kHungMs = 2000;
/// Time before a worker leaves at which progress is fetched from it: covers the
/// age of its listing, the grace of a stop and the look that brings the
/// checkpoint.
constexpr core::Millis kFetchProgressMs = 1000;
/// A run that needs this much longer than its worker stays is given up; workers
/// stay somewhat longer than they say, and percentages are whole numbers.
constexpr core::Millis kGiveUpMarginMs = 500;
constexpr double kWholePercent = 100;

}  // namespace

auto Dispatcher::StopHungRuns(Moment now) -> void {
  std::vector<TaskId> hung;
  for (const auto& [id, session] : sessions_) {
    for (const auto& [task, run] : session.runs()) {
      const auto* job = book_.Find(task.job);
      if (run.phase == RunPhase::kRunning && run.percent < kWholePercent &&
          session.is_answering() && now.steady - run.moved_at > kHungMs &&
          job != nullptr && !IsEnded(job->phase)) {
        hung.push_back(task);
      }
    }
  }
  for (const auto& id : hung) {
    auto* job = book_.Find(id.job);
    auto* step = job->FindStep(id);
    const auto& spec = job->SpecOf(*step);
    auto* task = job->FindTask(id);
    if (task->phase != TaskPhase::kPlaced || spec.long_running) {
      continue;
    }
    step->tasks[spec.gang ? 0 : static_cast<std::size_t>(id.index)]
        .avoid.insert(task->worker);
    if (!spec.gang) {
      // In a gang all members stand still, whichever of them hangs.
      health_.Hung(task->worker, now.steady);
    }
    AddNote(core::Event::kRunHung, {{"job", id.job},
                                    {"task", id.index},
                                    {"attempt", task->attempt},
                                    {"worker", task->worker}});
    StopRun(id, now);
  }
}

auto Dispatcher::ExpectedEndOf(const Run& run,
                               const Job& job,
                               const StepSpec& spec,
                               Moment now) const -> core::Millis {
  if (!run.started_at) {
    return now.steady + ExpectedRunMs(job, spec, estimates_);
  }
  const auto worked = run.told_at - *run.started_at;
  const auto whole =
      run.percent > 0 && worked > 0
          ? static_cast<core::Millis>(static_cast<double>(worked) *
                                      kWholePercent / run.percent)
          : ExpectedRunMs(job, spec, estimates_);
  return std::max(*run.started_at + whole, now.steady);
}

auto Dispatcher::MustLeaveNow(const Run& run,
                              core::Millis leaves_at,
                              Moment now) const -> bool {
  const auto* job = book_.Find(run.task.job);
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
    return now.steady >= leaves_at - kFetchProgressMs;
  }
  // Only a run that has shown its pace is given up.
  return run.percent > 0 && end > leaves_at + kGiveUpMarginMs;
}

auto Dispatcher::StopRunsOfLeaving(Moment now) -> void {
  std::vector<TaskId> leaving;
  for (const auto& [id, session] : sessions_) {
    if (!session.leaves_at()) {
      continue;
    }
    for (const auto& [task, run] : session.runs()) {
      if (MustLeaveNow(run, *session.leaves_at(), now)) {
        leaving.push_back(task);
      }
    }
  }
  for (const auto& id : leaving) {
    auto* job = book_.Find(id.job);
    auto* step = job->FindStep(id);
    const auto* task = job->FindTask(id);
    if (task->phase != TaskPhase::kPlaced) {
      continue;
    }
    AddNote(core::Event::kRunMoved, {{"job", id.job},
                                     {"task", id.index},
                                     {"attempt", task->attempt},
                                     {"worker", task->worker}});
    if (job->SpecOf(*step).gang) {
      StopStep(*job, *step, now);
    } else {
      StopRun(id, now);
    }
  }
}

}  // namespace kcm::dispatch
