// Tasks under which workers crash: evidence, isolated restarts and giving up.

#include <algorithm>

#include "LibDispatch/crash_evidence.h"
#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// A suspect is alone on its worker for this long after each start, during
/// which a crash would also be seen as silence.
constexpr core::Millis kProbationMs = kDeadlyWithinMs;
/// Most workers, as a part of the fleet, that are closed for longer, for a task
/// that may be slow to crash a worker.
constexpr std::size_t kMaxClosedPart = 8;
/// How long a suspect waits for a worker without runs, and then for one whose
/// runs have all lasted for a while. Accepted work must run within seconds
/// while there is capacity.
constexpr core::Millis kMaxWaitForEmptyMs = 500;
constexpr core::Millis kMaxWaitForSettledMs = 1000;

}  // namespace

auto Dispatcher::IsSuspect(const Job& job, const Step& step, std::size_t index)
    -> bool {
  const auto counter = job.SpecOf(step).gang ? 0 : index;
  return job.has_only_candidate ||
         step.tasks[counter].crash_evidence.IsSuspect();
}

auto Dispatcher::RecordWorkerCrash(const std::string& worker,
                                   const std::vector<EndedRun>& ended,
                                   ClockReading now) -> void {
  std::vector<Run> runs;
  for (const auto& each : ended) {
    if (each.worker_restarted && each.run.start_sent && !each.run.is_over) {
      runs.push_back(each.run);
    }
  }
  const auto& session = sessions_.at(worker);
  for (const auto& [task, run] : session.runs()) {
    if (run.is_of_former_life && !run.is_over) {
      runs.push_back(run);
    }
  }
  std::vector<RunAtCrash> at_crash;
  for (const auto& run : runs) {
    RunAtCrash entry{run.task, run.attempt, 0, false};
    if (run.started_at) {
      entry.survived_ms =
          std::max<core::Millis>(run.reported_at - *run.started_at, 0);
    }
    auto* job = job_table_.FindJob(run.task.job);
    const auto* step = job == nullptr ? nullptr : job->FindStep(run.task);
    if (step != nullptr) {
      entry.is_suspect =
          IsSuspect(*job, *step, static_cast<std::size_t>(run.task.index));
      entry.task.index = job->SpecOf(*step).gang ? 0 : run.task.index;
    }
    at_crash.push_back(std::move(entry));
  }
  const auto is_weak = health_.RecordCrash(
      session.info().address.ToString(), MayExplainCrash(at_crash), now.steady);
  const auto implications = JudgeCrash(at_crash, is_weak);
  RecordDecision(
      core::Event::kWorkerCrashed,
      {{"worker", worker},
       {"runs", runs.size()},
       {"candidates", std::count_if(implications.begin(), implications.end(),
                                    [](Implication implication) {
                                      return implication >=
                                             Implication::kCandidate;
                                    })},
       {"weak", is_weak}});
  for (std::size_t index = 0; index < at_crash.size(); ++index) {
    ImplicateTask(worker, at_crash[index], implications[index], now);
  }
}

auto Dispatcher::ImplicateTask(const std::string& worker,
                               const RunAtCrash& run,
                               Implication implication,
                               ClockReading now) -> void {
  auto* job = job_table_.FindJob(run.task.job);
  auto* task = job == nullptr ? nullptr : job->FindTask(run.task);
  if (task == nullptr || IsEnded(job->phase) ||
      implication == Implication::kNone || task->phase == TaskPhase::kDone ||
      run.attempt <= task->crash_evidence.attempt) {
    return;
  }
  auto& evidence = task->crash_evidence;
  evidence.attempt = run.attempt;
  ++evidence.crashes;
  evidence.as_candidate += implication >= Implication::kCandidate ? 1 : 0;
  evidence.as_only_candidate +=
      implication == Implication::kOnlyCandidate ? 1 : 0;
  job->NoteEvidence(evidence);
  job_table_.StoreTask(*job, *job->FindStep(run.task),
                       static_cast<std::size_t>(run.task.index));
  const core::Json fields = {{"job", run.task.job},
                             {"step", run.task.step},
                             {"task", run.task.index},
                             {"attempt", run.attempt},
                             {"worker", worker},
                             {"survived_ms", run.survived_ms},
                             {"crashes", evidence.crashes},
                             {"as_candidate", evidence.as_candidate},
                             {"as_only_candidate", evidence.as_only_candidate}};
  RecordDecision(core::Event::kTaskImplicated, fields);
  if (evidence.IsConclusive()) {
    RecordDecision(core::Event::kTaskGivenUp, fields);
    EndJob(*job, JobPhase::kFailed, now);
  }
}

auto Dispatcher::ClearEvidence(Job& job,
                               Step& step,
                               const EndedRun& ended,
                               ClockReading now) -> void {
  const auto is_own_end =
      ended.how == RunEnd::kDone || ended.how == RunEnd::kFailed;
  const auto counter = job.SpecOf(step).gang
                           ? std::size_t{0}
                           : static_cast<std::size_t>(ended.run.task.index);
  auto& evidence = step.tasks[counter].crash_evidence;
  if (!is_own_end || !ended.run.started_at || evidence.crashes == 0 ||
      ended.run.attempt <= evidence.attempt ||
      now.steady - *ended.run.started_at < kDeadlyWithinMs) {
    return;
  }
  evidence = {0, 0, 0, ended.run.attempt};
  job_table_.StoreTask(job, step, counter);
  job.has_crash_evidence = false;
  job.has_only_candidate = false;
  for (const auto& each : job.steps) {
    for (const auto& task : each.tasks) {
      job.NoteEvidence(task.crash_evidence);
    }
  }
}

auto Dispatcher::IsolateSuspects(const std::vector<PendingStep>& pending_steps,
                                 PlanPass& pass,
                                 ClockReading now) -> void {
  std::set<std::string> closed;
  for (const auto& [id, job] : job_table_.live_jobs()) {
    if (job->has_crash_evidence) {
      pass.suspect_slots[id] = CountSuspectSlots(*job, closed, now);
    }
  }
  const auto has_isolated = std::any_of(
      pending_steps.begin(), pending_steps.end(),
      [](const PendingStep& pending) { return pending.is_isolated; });
  for (auto& worker : pass.fleet.workers) {
    ++load_.workers;
    worker.is_closed = closed.contains(worker.info->id);
    if (has_isolated) {
      const auto& session = sessions_.at(worker.info->id);
      worker.isolation = IsolationOf(session, now);
      load_.runs += static_cast<std::int64_t>(session.runs().size());
    }
  }
}

auto Dispatcher::CountSuspectSlots(Job& job,
                                   std::set<std::string>& closed,
                                   ClockReading now) -> std::int64_t {
  std::int64_t slots = 1;
  for (const auto& step : job.steps) {
    ++load_.steps;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
      const auto& task = step.tasks[index];
      if (task.phase == TaskPhase::kWaiting || !IsSuspect(job, step, index)) {
        continue;
      }
      if (task.phase == TaskPhase::kDone) {
        ++slots;
        continue;
      }
      const auto session = sessions_.find(task.worker);
      if (session == sessions_.end()) {
        continue;
      }
      const auto run = session->second.runs().find(job.IdOf(step, index));
      if (run == session->second.runs().end()) {
        continue;
      }
      const auto age = now.steady - run->second.placed_at;
      const auto& counted = step.tasks[job.SpecOf(step).gang ? 0 : index];
      if (age < kProvenMs && counted.crash_evidence.MayBeSlow() &&
          closed.size() * kMaxClosedPart < sessions_.size()) {
        closed.insert(task.worker);
      }
      if (age < kProbationMs) {
        closed.insert(task.worker);
        --slots;
      } else if (run->second.phase == RunPhase::kRunning &&
                 session->second.is_answering()) {
        ++slots;
      }
    }
  }
  return slots;
}

auto Dispatcher::IsolationOf(const WorkerSession& session,
                             ClockReading now) const -> Isolation {
  const auto& runs = session.runs();
  if (runs.empty() &&
      !health_.HasCrashed(session.info().address.ToString(), now.steady)) {
    return Isolation::kEmpty;
  }
  const auto is_settled =
      std::all_of(runs.begin(), runs.end(), [&](const auto& entry) {
        return now.steady - entry.second.placed_at >= kProbationMs;
      });
  return is_settled ? Isolation::kSettled : Isolation::kNone;
}

auto Dispatcher::AwaitsOtherSuspects(const PendingStep& pending,
                                     const PlanPass& pass) -> bool {
  // Each long-running task must run, whether others of its job do or not.
  return pending.is_isolated &&
         !pending.job->SpecOf(*pending.step).long_running &&
         pass.suspect_slots.at(pending.job->spec.id) <= 0;
}

auto Dispatcher::PlanSuspect(PendingStep& pending,
                             PlacementRequest& request,
                             PlanPass& pass,
                             ClockReading now) -> bool {
  auto& task = pending.step->tasks[pending.tasks.front()];
  task.isolated_since = task.isolated_since.value_or(now.steady);
  const auto waited = now.steady - *task.isolated_since;
  if (waited < kMaxWaitForEmptyMs) {
    request.isolation = Isolation::kEmpty;
  } else if (waited < kMaxWaitForSettledMs) {
    request.isolation = Isolation::kSettled;
  }
  const auto placement = FindPlacement(pass.fleet, request);
  if (placement.empty()) {
    return request.isolation != Isolation::kNone;
  }
  PlaceApart(pending, placement, pass, now);
  return true;
}

auto Dispatcher::PlaceApart(PendingStep& pending,
                            const Placement& placement,
                            PlanPass& pass,
                            ClockReading now) -> void {
  pending.step->tasks[pending.tasks.front()].isolated_since.reset();
  Place(pending, placement, pass.fleet, now);
  for (const auto worker : placement) {
    pass.fleet.workers[worker].is_closed = true;
  }
  --pass.suspect_slots.at(pending.job->spec.id);
}

}  // namespace kcm::dispatch
