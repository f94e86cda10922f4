#include "LibDispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace kcm::dispatch {

namespace {

/// Interval between checks for expired leases, hung runs and leaving workers,
/// all of which are matters of seconds.
constexpr core::Millis kWatchPeriodMs = 50;
/// Interval between removals of old ended jobs.
constexpr core::Millis kPrunePeriodMs = 5000;
/// Pause between writes of lease rows, so that those of many workers share a
/// batch.
constexpr core::Millis kLeaseRowPauseMs = 250;
/// An ended job is kept for this many times the promised status time.
constexpr core::Millis kStatusMargin = 2;

}  // namespace

Dispatcher::Dispatcher(DispatchSettings settings)
    : settings_(settings), common_bound_(AddLeaseBound(0, {})) {}

auto Dispatcher::Recover(const std::vector<StateRow>& rows,
                         const FormerLeases& former) -> void {
  former_leases_ = former;
  health_.set_watched_since(former.read_at);
  account_shares_.set_started_at(former.read_at);
  common_bound_ = AddLeaseBound(former.end - former.read_at, former.witnesses);
  job_table_.Load(rows,
                  [this](const std::string& key, const core::Reason& reason) {
                    RecordDecision(core::Event::kRecordRejected,
                                   {{"key", key}, {"reason", reason.message}});
                  });
  LoadLeaseRows(rows);
  for (const auto& [id, live_job] : job_table_.live_jobs()) {
    auto& job = *live_job;
    for (auto& step : job.steps) {
      for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto& task = step.tasks[index];
        if (task.phase != TaskPhase::kPlaced) {
          continue;
        }
        WorkerInfo info;
        info.id = task.worker;
        info.incarnation = task.incarnation;
        auto& session =
            sessions_.try_emplace(task.worker, info, settings_, common_bound_)
                .first->second;
        session.SetListed(false);
        Run run;
        run.task = job.IdOf(step, index);
        run.attempt = task.attempt;
        run.demand = job.SpecOf(step).demand;
        // A lease row may tell of a newer incarnation, which has to confirm
        // that the run will not start there; see WorkerSession::UpdateInfo().
        run.phase = task.incarnation < session.info().incarnation
                        ? RunPhase::kStopping
                        : RunPhase::kAdopted;
        // The former holder may have sent the start.
        run.start_sent = true;
        run.checkpoint = task.checkpoint;
        account_shares_.AddRun(PoolAccountOf(job), job.spec.id, run.demand,
                               false, former.read_at);
        session.AddRun(std::move(run));
        call_schedule_.SetDueNow(task.worker);
      }
      StopBrokenGang(job, step);
    }
  }
}

auto Dispatcher::StopBrokenGang(Job& job, Step& step) -> void {
  const auto& first = step.tasks.front();
  const auto is_whole =
      std::all_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
        return task.phase == first.phase && task.attempt == first.attempt;
      });
  if (job.SpecOf(step).gang && !is_whole) {
    StopStep(job, step, StopCause::kGangBroken, ClockReading{});
  }
}

auto Dispatcher::SetQueues(const std::map<std::string, QueuePolicy>& queues)
    -> void {
  for (const auto& [name, policy] : queues) {
    queues_.insert_or_assign(name, policy);
  }
  next_plan_at_ = 0;
}

auto Dispatcher::SetGuarantees(std::map<std::string, std::int64_t> guarantees)
    -> void {
  guarantees_ = std::move(guarantees);
  account_shares_.SetGuarantees(guarantees_);
  next_plan_at_ = 0;
}

auto Dispatcher::ObserveListingRemoval(
    const std::string& worker,
    std::optional<core::Millis> max_silence_ms) -> void {
  const auto session = sessions_.find(worker);
  if (session == sessions_.end()) {
    return;
  }
  // Half an interval covers the errors of the clocks.
  const auto least_expiry_ms =
      DispatchSettings::kExpiryHeartbeats * settings_.heartbeat_ms -
      settings_.heartbeat_ms / 2;
  const auto has_left = max_silence_ms && *max_silence_ms < least_expiry_ms;
  if (has_left) {
    session->second.ObserveDeparture();
  }
  core::Json fields = {{"worker", worker},
                       {"draining", session->second.info().draining},
                       {"left", has_left},
                       {"runs", session->second.runs().size()}};
  if (max_silence_ms) {
    fields["max_silence_ms"] = *max_silence_ms;
  }
  RecordDecision(core::Event::kListingRemoved, std::move(fields));
}

auto Dispatcher::SetFleet(const std::vector<WorkerInfo>& workers,
                          ClockReading now) -> void {
  fleet_known_ = true;
  for (auto& [id, session] : sessions_) {
    session.SetListed(false);
  }
  for (const auto& info : workers) {
    const auto [found, is_new] =
        sessions_.try_emplace(info.id, info, settings_, common_bound_);
    auto& session = found->second;
    const auto old_incarnation = session.info().incarnation;
    const auto was_draining = !is_new && session.info().draining;
    const auto lost = session.UpdateInfo(info, now.steady);
    if (!was_draining && old_incarnation > 0 &&
        session.info().incarnation != old_incarnation) {
      RecordWorkerCrash(info.id, lost, now);
    }
    for (const auto& ended : lost) {
      ApplyRunEnd(info.id, ended, now);
    }
    call_schedule_.SetDueNow(info.id);
    if (is_new || old_incarnation != info.incarnation ||
        was_draining != info.draining) {
      RecordDecision(core::Event::kWorkerListed,
                     {{"worker", info.id},
                      {"life", info.incarnation},
                      {"rack", info.rack},
                      {"address", info.address.ToString()},
                      {"draining", info.draining}});
    }
  }
  // A listing may show another data centre than before.
  WithdrawEvacuatedStarts(now);
  UpdateFleetSize();
  next_plan_at_ = 0;
}

auto Dispatcher::PolicyOf(const Job& job) const -> const QueuePolicy& {
  const auto found = queues_.find(job.spec.queue);
  return found == queues_.end() ? job.spec.policy : found->second;
}

auto Dispatcher::Submit(JobSpec spec, ClockReading now) -> JobView {
  if (const auto known = FindJob(spec.id)) {
    return *known;
  }
  spec.accepted_at = now.wall;
  auto& job = job_table_.AddJob(std::move(spec));
  job.batch = next_batch_;
  next_plan_at_ = 0;
  RecordDecision(core::Event::kJobAccepted, {{"job", job.spec.id},
                                             {"queue", job.spec.queue},
                                             {"account", job.spec.account},
                                             {"steps", job.spec.steps.size()},
                                             {"batch", job.batch}});
  return ViewOf(job);
}

auto Dispatcher::FindJob(const std::string& id) const
    -> std::optional<JobView> {
  const auto* job = job_table_.FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  return ViewOf(*job);
}

auto Dispatcher::OwnerOf(const std::string& id) const
    -> std::optional<JobOwner> {
  const auto* job = job_table_.FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  return JobOwner{job->spec.queue, job->spec.account};
}

auto Dispatcher::Cancel(const std::string& id, ClockReading now)
    -> std::optional<JobView> {
  auto* job = job_table_.FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (!IsEnded(job->phase)) {
    EndJob(*job, JobPhase::kCancelled, now);
  }
  return ViewOf(*job);
}

auto Dispatcher::Withdraw(const std::string& id, ClockReading now) -> bool {
  auto* job = job_table_.FindJob(id);
  if (job == nullptr || job->batch <= stored_ || IsEnded(job->phase)) {
    return false;
  }
  // Marked as ended for its runs that are removed now, none of which started.
  job->phase = JobPhase::kCancelled;
  for (auto& step : job->steps) {
    StopStep(*job, step, StopCause::kJobEnded, now);
  }
  job_table_.Withdraw(id);
  return true;
}

auto Dispatcher::TakeBatch(bool with_deferred) -> std::optional<Batch> {
  if (!job_table_.has_rows() && lease_rows_.empty() &&
      !(with_deferred && job_table_.has_deferred_rows())) {
    return std::nullopt;
  }
  auto rows = std::exchange(lease_rows_, {});
  // The caller's own rows and those of leases are short.
  auto job_rows = job_table_.TakeRows(settings_.max_append_bytes / 2);
  std::move(job_rows.begin(), job_rows.end(), std::back_inserter(rows));
  const auto is_whole = !job_table_.has_rows();
  const auto number = is_whole ? next_batch_++ : next_batch_;
  return Batch{number, std::move(rows), is_whole};
}

auto Dispatcher::BatchOfNewestRows() const -> std::uint64_t {
  return job_table_.has_rows() ? next_batch_ : next_batch_ - 1;
}

auto Dispatcher::TakeCalls(ClockReading now, TermPermit permit)
    -> std::vector<WorkerCall> {
  AdvanceTimers(now);
  std::vector<WorkerCall> calls;
  for (const auto& worker : call_schedule_.TakeDue(now.steady)) {
    const auto found = sessions_.find(worker);
    if (found == sessions_.end()) {
      continue;
    }
    ++load_.sessions;
    auto& session = found->second;
    auto session_permit = permit;
    session_permit.may_start = permit.may_start && !IsEvacuated(session.info());
    auto more = session.TakeCalls(now.steady, stored_, session_permit);
    permit.max_run_calls -= static_cast<std::size_t>(
        std::count_if(more.begin(), more.end(), IsAboutRun));
    std::move(more.begin(), more.end(), std::back_inserter(calls));
    call_schedule_.Set(worker, session.NextCallAt(stored_));
    if (session.AwaitsStore(stored_)) {
      call_schedule_.AwaitStore(worker);
    }
  }
  return calls;
}

auto Dispatcher::OnResult(const WorkerCall& call,
                          const CallResult& result,
                          ClockReading now) -> void {
  const auto found = sessions_.find(call.worker);
  if (found == sessions_.end() ||
      found->second.info().incarnation != call.incarnation ||
      found->second.is_replaced()) {
    return;
  }
  auto& session = found->second;
  call_schedule_.SetDueNow(call.worker);
  // A call to a former address of the worker shows nothing about it.
  if (result.end == CallEnd::kOtherIncarnation &&
      call.address == session.info().address) {
    EndReplacedWorker(call.worker, session, "refused", now);
    return;
  }
  if (const auto* start = std::get_if<StartCall>(&call.command)) {
    if (result.end != CallEnd::kDone) {
      RecordDecision(core::Event::kStartRefused,
                     {{"job", start->task.job},
                      {"task", start->task.index},
                      {"attempt", start->attempt},
                      {"worker", call.worker},
                      {"how", core::NameOf(result.end)}});
      if (result.end != CallEnd::kSuperseded &&
          result.end != CallEnd::kLeaseExpired) {
        health_.RecordRefusal(call.worker, now.steady);
      }
    }
    const auto ended = session.OnStart(*start, result, now.steady);
    RecordBegunTasks(session);
    if (ended) {
      ApplyRunEnd(call.worker, *ended, now);
    }
  } else if (const auto* stop = std::get_if<StopCall>(&call.command)) {
    session.OnStop(*stop, result, now.steady);
  } else if (const auto* poll = std::get_if<PollCall>(&call.command)) {
    const auto former_failure = session.poll_failure();
    // The former incarnation's runs are gone, whatever the new one reports.
    const auto is_reborn = result.report && result.report->incarnation > 0 &&
                           result.report->incarnation != call.incarnation;
    const auto was_draining = session.info().draining;
    const auto gone =
        is_reborn
            ? session.ObserveRebirth(result.report->incarnation, now.steady)
            : session.OnPoll(*poll, result, call.sent_at, now.steady);
    RecordBegunTasks(session);
    if (is_reborn && !was_draining) {
      RecordWorkerCrash(call.worker, gone, now);
    }
    for (const auto& ended : gone) {
      ApplyRunEnd(call.worker, ended, now);
    }
    if (is_reborn) {
      RecordDecision(core::Event::kWorkerListed,
                     {{"worker", call.worker},
                      {"life", result.report->incarnation},
                      {"rack", session.info().rack},
                      {"address", session.info().address.ToString()},
                      {"draining", false}});
    } else if (result.report) {
      auto& newest = newest_at_address_[call.address.ToString()];
      if (call.sent_at >= newest.sent_at) {
        newest = {call.worker, call.sent_at};
      }
      ObserveWitness(call.worker, *result.report, now);
      RecordCutEnds(*poll, *result.report, session);
    }
    if (session.poll_failure() && session.poll_failure() != former_failure &&
        !session.is_idle()) {
      RecordDecision(core::Event::kWorkerUnreachable,
                     {{"worker", call.worker},
                      {"how", core::NameOf(*session.poll_failure())},
                      {"ended", result.connection_ended},
                      {"runs", session.runs().size()}});
    }
    session.AcknowledgeEndsAfter(BatchOfNewestRows());
  }
  next_plan_at_ = std::min(next_plan_at_, now.steady);
}

auto Dispatcher::RecordCutEnds(const PollCall& poll,
                               const PollReport& report,
                               const WorkerSession& session) -> void {
  if (report.has_all_ends) {
    return;
  }
  RecordDecision(core::Event::kEndsCutShort,
                 {{"worker", session.info().id},
                  {"ends", report.ended.size()},
                  {"acknowledged", poll.acknowledged},
                  {"runs", session.runs().size()}});
}

auto Dispatcher::RecordBegunTasks(WorkerSession& session) -> void {
  for (const auto& task : session.TakeBegunTasks()) {
    job_table_.RecordBegun(task);
  }
}

auto Dispatcher::IsReplaced(const WorkerSession& session) const -> bool {
  if (session.is_idle() || session.is_replaced() || !session.poll_failure()) {
    return false;
  }
  const auto newest =
      newest_at_address_.find(session.info().address.ToString());
  return newest != newest_at_address_.end() &&
         newest->second.worker != session.info().id;
}

auto Dispatcher::EndReplacedWorker(const std::string& worker,
                                   WorkerSession& session,
                                   const char* evidence,
                                   ClockReading now) -> void {
  RecordDecision(core::Event::kWorkerReplaced,
                 {{"worker", worker},
                  {"address", session.info().address.ToString()},
                  {"reason", evidence},
                  {"runs", session.runs().size()}});
  const auto lost = session.ObserveReplacement();
  if (!session.info().draining) {
    RecordWorkerCrash(worker, lost, now);
  }
  for (const auto& ended : lost) {
    ApplyRunEnd(worker, ended, now);
  }
  next_plan_at_ = std::min(next_plan_at_, now.steady);
}

auto Dispatcher::StopRun(const TaskId& id, StopCause cause, ClockReading now)
    -> void {
  auto* job = job_table_.FindJob(id.job);
  auto* task = job == nullptr ? nullptr : job->FindTask(id);
  const auto session =
      task == nullptr ? sessions_.end() : sessions_.find(task->worker);
  if (session == sessions_.end()) {
    return;
  }
  call_schedule_.SetDueNow(session->first);
  if (const auto gone = session->second.StopRun(id, cause, now.steady)) {
    ApplyRunEnd(session->first, *gone, now);
  }
}

auto Dispatcher::StopStep(Job& job,
                          Step& step,
                          StopCause cause,
                          ClockReading now) -> void {
  for (std::size_t index = 0; index < step.tasks.size(); ++index) {
    if (step.tasks[index].phase == TaskPhase::kPlaced) {
      StopRun(job.IdOf(step, index), cause, now);
    }
  }
}

auto Dispatcher::EndJob(Job& job, JobPhase phase, ClockReading now) -> void {
  job_table_.EndJob(job, phase, now.wall);
  account_shares_.OnJobEnded(job.spec.id);
  job.batch = next_batch_;
  next_plan_at_ = 0;
  for (auto& step : job.steps) {
    StopStep(job, step, StopCause::kJobEnded, now);
  }
  RecordDecision(core::Event::kJobEnded,
                 {{"job", job.spec.id},
                  {"queue", job.spec.queue},
                  {"status", core::NameOf(phase)},
                  {"age_ms", now.wall - job.spec.accepted_at},
                  {"batch", job.batch}});
}

auto Dispatcher::WatchSessions(ClockReading now) -> void {
  const auto lease_rows_due = now.steady >= next_lease_rows_at_;
  if (lease_rows_due) {
    next_lease_rows_at_ = now.steady + kLeaseRowPauseMs;
  }
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    ++load_.sessions;
    // A former bound may end before the listing shows that a start may have
    // reached a newer incarnation.
    if (fleet_known_) {
      if (IsReplaced(session->second)) {
        EndReplacedWorker(session->first, session->second,
                          "another worker answered", now);
      }
      auto gone = session->second.TakeLapsedRuns(now.steady);
      auto left = TakeRunsOfLeftWorker(session->second, now);
      std::move(left.begin(), left.end(), std::back_inserter(gone));
      for (const auto& ended : gone) {
        ApplyRunEnd(session->first, ended, now);
        call_schedule_.SetDueNow(session->first);
      }
    }
    UpdateLeaseRow(session->first, session->second, lease_rows_due, now);
    // A new session would not know of a deletion that is being stored.
    if (!session->second.is_listed() && session->second.is_idle() &&
        session->second.may_grant(stored_)) {
      RecordDecision(core::Event::kWorkerUnlisted,
                     {{"worker", session->first}});
      session = sessions_.erase(session);
    } else {
      ++session;
    }
  }
  StopHungRuns(now);
  WatchSpeeds(now);
  ReportRunTimes(now);
  StopRunsOnLeavingWorkers(now);
}

auto Dispatcher::AdvanceTimers(ClockReading now) -> void {
  if (now.steady >= next_watch_at_) {
    next_watch_at_ = now.steady + kWatchPeriodMs;
    WatchSessions(now);
  }
  if (now.steady >= next_prune_at_) {
    next_prune_at_ = now.steady + kPrunePeriodMs;
    job_table_.Prune(now.wall - kStatusMargin * settings_.status_ms);
  }
  if (now.steady >= std::max(next_plan_at_, plan_pause_until_)) {
    PlanPlacements(now);
  }
}

}  // namespace kcm::dispatch
