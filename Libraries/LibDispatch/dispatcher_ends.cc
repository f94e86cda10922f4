// What the end of a run means for its task and its job.

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

auto LogFields(const std::string& worker, const EndedRun& ended) -> core::Json {
  return {{"job", ended.run.task.job},
          {"step", ended.run.task.step},
          {"task", ended.run.task.index},
          {"attempt", ended.run.attempt},
          {"worker", worker},
          {"how", core::NameOf(ended.how)}};
}

}  // namespace

auto Dispatcher::Apply(const std::string& worker,
                       const EndedRun& ended,
                       Moment now) -> void {
  AddNote(core::Event::kRunEnded, LogFields(worker, ended));
  next_plan_at_ = 0;
  auto* job = book_.Find(ended.run.task.job);
  auto* task = job == nullptr ? nullptr : job->FindTask(ended.run.task);
  if (task == nullptr || IsEnded(job->phase)) {
    return;
  }
  auto& step = *job->FindStep(ended.run.task);
  const auto& spec = job->SpecOf(step);
  const auto is_newest =
      task->phase == TaskPhase::kPlaced && task->attempt == ended.run.attempt;
  if (ended.how == RunEnd::kDone && !spec.long_running) {
    ApplyDone(*job, step, ended, now);
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
    ApplyFailed(*job, step, worker, ended, now);
    if (IsEnded(job->phase)) {
      return;
    }
  }
  if (is_newest) {
    Release(*job, step, static_cast<std::size_t>(ended.run.task.index), now);
  }
}

auto Dispatcher::ApplyDone(Job& job,
                           Step& step,
                           const EndedRun& ended,
                           Moment now) -> void {
  auto* task = job.FindTask(ended.run.task);
  if (task->phase == TaskPhase::kDone) {
    return;
  }
  Learn(job, step, ended, now);
  health_.Succeeded(task->worker);
  const auto is_gang = job.SpecOf(step).gang;
  for (std::size_t index = 0; index < step.tasks.size(); ++index) {
    auto& member = step.tasks[index];
    const auto is_ended =
        static_cast<std::int64_t>(index) == ended.run.task.index;
    if (member.phase == TaskPhase::kDone || (!is_ended && !is_gang)) {
      continue;
    }
    if (member.phase == TaskPhase::kPlaced &&
        member.attempt != ended.run.attempt) {
      StopRun(job.IdOf(step, index), now);
    }
    member.phase = TaskPhase::kDone;
    ++step.done;
    book_.StoreTask(job, step, index);
  }
  if (job.IsDone()) {
    EndJob(job, JobPhase::kCompleted, now);
  }
}

auto Dispatcher::ApplyFailed(Job& job,
                             Step& step,
                             const std::string& worker,
                             const EndedRun& ended,
                             Moment now) -> void {
  const auto is_gang = job.SpecOf(step).gang;
  const auto counter =
      is_gang ? std::size_t{0} : static_cast<std::size_t>(ended.run.task.index);
  auto& ledger = step.tasks[counter];
  ledger.avoid.insert(worker);
  if (health_.Failed(worker, job.spec.id, now.steady)) {
    AddNote(core::Event::kWorkerCordoned,
            {{"worker", worker}, {"reason", "runs of several jobs failed"}});
  }
  if (ended.run.attempt <= ledger.failed_attempt) {
    return;
  }
  ledger.failed_attempt = ended.run.attempt;
  ++ledger.failures;
  book_.StoreTask(job, step, counter);
  if (ledger.failures >= PolicyOf(job).max_attempts) {
    EndJob(job, JobPhase::kFailed, now);
  }
}

auto Dispatcher::Release(Job& job, Step& step, std::size_t index, Moment now)
    -> void {
  auto& task = step.tasks[index];
  task.phase = TaskPhase::kWaiting;
  book_.StoreTask(job, step, index);
  if (job.SpecOf(step).gang) {
    StopStep(job, step, now);
  }
}

auto Dispatcher::Learn(const Job& job,
                       const Step& step,
                       const EndedRun& ended,
                       Moment now) -> void {
  if (!ended.run.started_at || !ended.run.checkpoint.empty()) {
    // The run was adopted or resumed: its span says nothing of the whole.
    return;
  }
  estimates_.Learn(job.spec.queue, job.SpecOf(step).estimate_ms,
                   now.steady - *ended.run.started_at);
}

}  // namespace kcm::dispatch
