// Effects of a run's end on its task and its job.

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// A run that fails sooner has hardly begun, which is more often the fault of
/// its worker than of its job.
constexpr core::Millis kAtOnceMs = 300;
/// The same as a part of the expected run time.
constexpr core::Millis kAtOncePart = 5;
/// Least part of an adopted run that its holder has seen, from which the run
/// time of the whole is inferred.
constexpr double kLeastObservedPercent = 25;

constexpr double kMillisPerSecond = 1000;

auto LogFields(const std::string& worker, const EndedRun& ended) -> core::Json {
  core::Json fields = {{"job", ended.run.task.job},
                       {"step", ended.run.task.step},
                       {"task", ended.run.task.index},
                       {"attempt", ended.run.attempt},
                       {"worker", worker},
                       {"how", core::NameOf(ended.how)}};
  if (ended.run.stop_cause) {
    fields["cause"] = core::NameOf(*ended.run.stop_cause);
  }
  return fields;
}

}  // namespace

auto Dispatcher::ApplyRunEnd(const std::string& worker,
                             const EndedRun& ended,
                             ClockReading now) -> void {
  next_plan_at_ = 0;
  account_shares_.RemoveRun(ended.run.task.job, ended.run.demand, now.steady);
  auto* job = job_table_.FindJob(ended.run.task.job);
  auto* task = job == nullptr ? nullptr : job->FindTask(ended.run.task);
  auto fields = LogFields(worker, ended);
  if (task != nullptr && ended.how != RunEnd::kDone) {
    fields["lost_core_s"] = std::llround(LostCoreSeconds(ended, *job, now));
  }
  RecordDecision(core::Event::kRunEnded, std::move(fields));
  if (task == nullptr || IsEnded(job->phase)) {
    return;
  }
  auto& step = *job->FindStep(ended.run.task);
  const auto& spec = job->SpecOf(step);
  ClearEvidence(*job, step, ended, now);
  if (ended.how == RunEnd::kGangBroken) {
    step.broken_attempt = std::max(step.broken_attempt, ended.run.attempt);
  }
  const auto is_newest =
      task->phase == TaskPhase::kPlaced && task->attempt == ended.run.attempt;
  if (ended.how == RunEnd::kDone && !spec.long_running) {
    RecordTaskDone(*job, step, ended, now);
    return;
  }
  if (is_newest && !ended.run.checkpoint.empty()) {
    for (auto& member : step.tasks) {
      if (spec.gang) {
        member.checkpoint = ended.run.checkpoint;
      }
    }
    task->checkpoint = ended.run.checkpoint;
  }
  if (ended.how == RunEnd::kFailed && !spec.long_running) {
    RecordTaskFailure(*job, step, worker, ended, now);
    if (IsEnded(job->phase)) {
      return;
    }
  }
  if (is_newest) {
    RequeueTask(*job, step, static_cast<std::size_t>(ended.run.task.index),
                now);
  }
}

auto Dispatcher::WorkedMs(const Run& run,
                          const Job& job,
                          const StepSpec& spec,
                          ClockReading now) const -> core::Millis {
  const auto seen = run.started_at ? now.steady - *run.started_at : 0;
  if (!run.adopted) {
    return seen;
  }
  // It began before this holder saw it first. If its speed is known, it shows a
  // run that is longer than usual.
  const auto remaining = run.RemainingMs();
  const auto whole =
      remaining && run.percent < kWholePercent
          ? static_cast<double>(*remaining) * kWholePercent /
                (kWholePercent - run.percent)
          : static_cast<double>(ExpectedRunMs(job, spec, estimates_));
  return std::max(
      seen, static_cast<core::Millis>(whole * run.percent / kWholePercent));
}

auto Dispatcher::LostCoreSeconds(const EndedRun& ended,
                                 const Job& job,
                                 ClockReading now) const -> double {
  const auto& spec =
      job.spec.steps[static_cast<std::size_t>(ended.run.task.step)];
  // A stop saves a checkpoint too.
  const auto is_saved = spec.checkpoints && ended.how == RunEnd::kStopped;
  if (spec.long_running || is_saved) {
    return 0;
  }
  const auto worked = WorkedMs(ended.run, job, spec, now);
  const auto lost =
      spec.checkpoints ? std::min(worked, settings_.checkpoint_ms) : worked;
  return CoresOf(ended.run.demand) * static_cast<double>(lost) /
         kMillisPerSecond;
}

auto Dispatcher::RecordTaskDone(Job& job,
                                Step& step,
                                const EndedRun& ended,
                                ClockReading now) -> void {
  auto* task = job.FindTask(ended.run.task);
  if (task->phase == TaskPhase::kDone) {
    return;
  }
  RecordRunTime(job, step, ended, now);
  const auto is_gang = job.SpecOf(step).gang;
  const auto began_at = ended.run.started_at.value_or(0);
  health_.RecordSuccess(task->worker, began_at);
  for (std::size_t index = 0; index < step.tasks.size(); ++index) {
    auto& member = step.tasks[index];
    const auto is_ended =
        static_cast<std::int64_t>(index) == ended.run.task.index;
    if (member.phase == TaskPhase::kDone || (!is_ended && !is_gang)) {
      continue;
    }
    const auto is_placed = member.phase == TaskPhase::kPlaced;
    if (is_placed && member.attempt == ended.run.attempt) {
      health_.RecordSuccess(member.worker, began_at);
    }
    member.phase = TaskPhase::kDone;
    ++step.done;
    job_table_.StoreTask(job, step, index);
    // Otherwise a start that got no answer would be repeated.
    if (is_placed) {
      StopUnlessConfirmed(job.IdOf(step, index), ended.run.attempt, now);
    }
  }
  if (job.IsDone()) {
    EndJob(job, JobPhase::kCompleted, now);
  }
}

auto Dispatcher::StopUnlessConfirmed(const TaskId& id,
                                     std::int64_t attempt,
                                     ClockReading now) -> void {
  const auto* task = job_table_.FindJob(id.job)->FindTask(id);
  const auto session = sessions_.find(task->worker);
  if (session == sessions_.end()) {
    return;
  }
  const auto run = session->second.runs().find(id);
  const auto is_confirmed = run != session->second.runs().end() &&
                            run->second.attempt == attempt &&
                            run->second.phase != RunPhase::kStarting;
  if (!is_confirmed) {
    StopRun(id, StopCause::kTaskDone, now);
  }
}

auto Dispatcher::RecordTaskFailure(Job& job,
                                   Step& step,
                                   const std::string& worker,
                                   const EndedRun& ended,
                                   ClockReading now) -> void {
  const auto is_gang = job.SpecOf(step).gang;
  const auto counter =
      is_gang ? std::size_t{0} : static_cast<std::size_t>(ended.run.task.index);
  auto& counted_task = step.tasks[counter];
  counted_task.avoid.insert(worker);
  const auto at_once = FailedAtOnce(job, step, ended, now);
  if (health_.RecordFailure(worker, job.spec.id, at_once, now.steady)) {
    RecordDecision(core::Event::kWorkerCordoned,
                   {{"worker", worker},
                    {"reason", at_once ? "a run failed at once"
                                       : "runs of several jobs failed"}});
  }
  if (ended.run.attempt <= counted_task.failed_attempt) {
    return;
  }
  counted_task.failed_attempt = ended.run.attempt;
  ++counted_task.failures;
  job_table_.StoreTask(job, step, counter);
  const auto attempts_left = PolicyOf(job).max_attempts - counted_task.failures;
  if (attempts_left <= 0) {
    EndJob(job, JobPhase::kFailed, now);
  } else if (attempts_left == 1 && at_once) {
    counted_task.held_since = now.steady;
  }
}

auto Dispatcher::FailedAtOnce(const Job& job,
                              const Step& step,
                              const EndedRun& ended,
                              ClockReading now) const -> bool {
  // A run that a former holder started counts from the first poll of it.
  if (ended.run.percent > kWholePercent / kAtOncePart) {
    return false;
  }
  // The end may be reported before the start is answered.
  const auto elapsed = now.steady - ended.run.started_at.value_or(now.steady);
  return elapsed <
         std::min(kAtOnceMs, ExpectedRunMs(job, job.SpecOf(step), estimates_) /
                                 kAtOncePart);
}

auto Dispatcher::RequeueTask(Job& job,
                             Step& step,
                             std::size_t index,
                             ClockReading now) -> void {
  auto& task = step.tasks[index];
  task.phase = TaskPhase::kWaiting;
  job_table_.StoreTask(job, step, index);
  if (job.SpecOf(step).gang) {
    StopStep(job, step, StopCause::kGangBroken, now);
  }
}

auto Dispatcher::IsAwayFromRack(const Job& job,
                                const Step& step,
                                const Task& task) const -> bool {
  const auto& spec = job.SpecOf(step);
  const auto rack_of = [&](const Task& placed) {
    const auto session = sessions_.find(placed.worker);
    return session == sessions_.end() ? std::string()
                                      : session->second.info().rack;
  };
  const auto rack = rack_of(task);
  if (!spec.data_rack.empty() && rack != spec.data_rack) {
    return true;
  }
  return spec.gang && spec.same_rack &&
         std::any_of(step.tasks.begin(), step.tasks.end(),
                     [&](const Task& other) {
                       return !other.worker.empty() && rack_of(other) != rack;
                     });
}

auto Dispatcher::RecordRunTime(const Job& job,
                               const Step& step,
                               const EndedRun& ended,
                               ClockReading now) -> void {
  const auto& run = ended.run;
  const auto& task = step.tasks[static_cast<std::size_t>(run.task.index)];
  if (!run.started_at || !run.checkpoint.empty() ||
      slow_workers_.IsSlow(task.worker, now.steady) ||
      IsAwayFromRack(job, step, task)) {
    // A run that resumed, is on a slow worker or is away from the rack that it
    // prefers takes an unusual time.
    return;
  }
  auto part = kWholePercent;
  if (run.adopted) {
    part -= run.first_progress ? run.first_progress->percent : kWholePercent;
    if (part < kLeastObservedPercent) {
      return;
    }
  }
  ++runs_since_report_[job.spec.queue];
  const auto observed = static_cast<double>(now.steady - *run.started_at);
  estimates_.RecordRunTime(
      job.spec.queue, job.SpecOf(step).estimate_ms,
      static_cast<core::Millis>(observed * kWholePercent / part));
}

}  // namespace kcm::dispatch
