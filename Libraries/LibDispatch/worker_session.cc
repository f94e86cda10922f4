#include "LibDispatch/worker_session.h"

#include <algorithm>
#include <utility>

namespace kcm::dispatch {

namespace {

/// Wait time of a poll; a hung run is detected after two of them.
constexpr core::Millis kPollWaitMs = 1000;
/// Unanswered polls after which leases are no longer renewed, so that those of
/// an unreachable worker expire.
constexpr int kMaxUnansweredPolls = 2;
/// Most calls in flight to a worker that start or stop a run.
constexpr std::size_t kMaxRunCalls = 32;
/// Longest delay after which an unanswered call may still take effect.
constexpr core::Millis kMaxCallDelayMs = 12000;
/// Greatest age of a listing: two heartbeats of a worker and the pause between
/// two reads.
constexpr core::Millis kMaxListingAgeMs = 4000;
/// Time after the end of a lease for the worker to kill the runs it covers.
constexpr core::Millis kLapseMarginMs = 300;
/// Age at which a lease row is written again. A takeover adds at most this much
/// to the wait for the last lease; holders live longer.
constexpr core::Millis kLeaseRowPeriodMs = 1000;

}  // namespace

WorkerSession::WorkerSession(
    WorkerInfo info,
    const DispatchSettings& settings,
    std::shared_ptr<const FormerLeaseBound> former_leases)
    : info_(std::move(info)),
      settings_(settings),
      former_leases_(std::move(former_leases)) {}

auto WorkerSession::UpdateInfo(const WorkerInfo& info, core::Millis now)
    -> std::vector<EndedRun> {
  std::vector<EndedRun> lost;
  listed_ = true;
  has_departed_ = false;
  if (info.incarnation == info_.incarnation) {
    unlisted_incarnation_until_.reset();
    info_ = info;
    UpdateLeaveTime(now);
    return lost;
  }
  if (unlisted_incarnation_until_ && now < *unlisted_incarnation_until_) {
    return lost;
  }
  // Only a poll shows which incarnation has a run. A start that no poll has
  // confirmed may have reached the new incarnation, which has no fence yet:
  // such a run is gone only when the new incarnation has confirmed its stop.
  std::vector<Run> unconfirmed;
  // A worker that drains has left as announced.
  const auto has_crashed = !info_.draining;
  while (!runs_.empty()) {
    const auto task = runs_.begin()->first;
    auto ended = RemoveRun(task, RunEnd::kLost);
    const auto may_run = ended.run.start_unanswered ||
                         ended.run.phase == RunPhase::kAdopted ||
                         (ended.run.start_sent && !ended.run.listed);
    ended.worker_restarted = has_crashed;
    if (may_run) {
      unconfirmed.push_back(std::move(ended.run));
    } else {
      lost.push_back(std::move(ended));
    }
  }
  const auto settings = settings_;
  const auto lease_row_written_at = lease_row_written_at_;
  const auto lease_row_deleted_in = lease_row_deleted_in_;
  const auto grants_paused = grants_paused_;
  *this = WorkerSession(
      info, settings,
      std::make_shared<FormerLeaseBound>(
          now, kMaxCallDelayMs + settings.max_lease_ms, ClockWitnesses{}));
  lease_row_written_at_ = lease_row_written_at;
  lease_row_deleted_in_ = lease_row_deleted_in;
  grants_paused_ = grants_paused;
  for (auto& run : unconfirmed) {
    run.phase = RunPhase::kStopping;
    run.is_of_former_life = has_crashed && run.start_sent;
    run.start_sent = true;
    run.call_in_flight = false;
    run.listed = false;
    run.started_at.reset();
    run.confirmed_at.reset();
    run.stop_confirmed_at.reset();
    run.next_call_at = 0;
    AddRun(std::move(run));
  }
  return lost;
}

auto WorkerSession::ObserveRebirth(std::int64_t incarnation, core::Millis now)
    -> std::vector<EndedRun> {
  const auto was_listed = listed_;
  auto info = info_;
  info.incarnation = incarnation;
  info.draining = false;
  // Evidence of an incarnation replaces that of any earlier one.
  unlisted_incarnation_until_.reset();
  auto lost = UpdateInfo(info, now);
  listed_ = was_listed;
  unlisted_incarnation_until_ = now + kMaxListingAgeMs;
  return lost;
}

auto WorkerSession::ObserveReplacement() -> std::vector<EndedRun> {
  std::vector<EndedRun> lost;
  // A start without an answer cannot take effect either: calls name the worker
  // that they are meant for, and the new one refuses them.
  while (!runs_.empty()) {
    lost.push_back(RemoveRun(runs_.begin()->first, RunEnd::kLost));
    lost.back().worker_restarted = !info_.draining;
  }
  orphan_runs_.clear();
  replaced_ = true;
  return lost;
}

auto WorkerSession::UpdateLeaveTime(core::Millis now) -> void {
  if (!info_.draining) {
    leaves_at_.reset();
    return;
  }
  // Reading an unchanged listing again must not postpone the time.
  const auto announced = now + info_.leaves_in_ms;
  leaves_at_ = std::min(leaves_at_.value_or(announced), announced);
}

auto WorkerSession::AddRun(Run run) -> void {
  used_ += run.demand;
  const auto task = run.task;
  runs_.insert_or_assign(task, std::move(run));
}

auto WorkerSession::RemoveRun(const TaskId& task, RunEnd how) -> EndedRun {
  auto node = runs_.extract(task);
  used_ -= node.mapped().demand;
  return {std::move(node.mapped()), how, false};
}

auto WorkerSession::StopRun(const TaskId& task,
                            StopCause cause,
                            core::Millis now) -> std::optional<EndedRun> {
  const auto found = runs_.find(task);
  if (found == runs_.end()) {
    return std::nullopt;
  }
  auto& run = found->second;
  run.stop_cause = run.stop_cause.value_or(cause);
  if (run.phase == RunPhase::kStarting && !run.start_sent) {
    return RemoveRun(task, RunEnd::kLost);
  }
  if (run.phase != RunPhase::kStopping) {
    run.phase = RunPhase::kStopping;
    run.stop_confirmed_at.reset();
    run.next_call_at = now;
  }
  return std::nullopt;
}

auto WorkerSession::GrantLease(core::Millis now) -> core::Millis {
  const auto until = clock_.Estimate(now) + settings_.max_lease_ms;
  lease_until_ = std::max(lease_until_, until);
  return until;
}

auto WorkerSession::LastLeaseEnd(core::Millis now) const -> core::Millis {
  const auto own_end =
      lease_until_ == 0
          ? now
          : now + clock_.LongestUntil(lease_until_ + kLapseMarginMs, now);
  return std::max(own_end, former_leases_->end());
}

auto WorkerSession::WitnessOf(core::Millis now) const
    -> std::optional<ClockWitness> {
  const auto latest = clock_.Latest(now);
  if (!is_usable() || !latest) {
    return std::nullopt;
  }
  return ClockWitness{info_.id, info_.incarnation, *latest};
}

auto WorkerSession::IsSilent(bool fleet_known) const -> bool {
  if (has_answered_) {
    return unanswered_polls_ >= kMaxUnansweredPolls;
  }
  return unanswered_polls_ > 0 || (fleet_known && !listed_);
}

auto WorkerSession::TakeLeaseRowChange(core::Millis now,
                                       std::uint64_t batch,
                                       bool may_write,
                                       bool fleet_known)
    -> std::optional<LeaseRowChange> {
  if (runs_.empty() || is_answering()) {
    if (!lease_row_written_at_) {
      return std::nullopt;
    }
    lease_row_written_at_.reset();
    lease_row_deleted_in_ = batch;
    return LeaseRowChange{};
  }
  const auto is_due = lease_row_written_at_
                          ? now - *lease_row_written_at_ >= kLeaseRowPeriodMs
                          : IsSilent(fleet_known);
  if (!may_write || !is_due) {
    return std::nullopt;
  }
  lease_row_written_at_ = now;
  grants_paused_ = true;
  return LeaseRowChange{std::max<core::Millis>(LastLeaseEnd(now) - now, 0)};
}

auto WorkerSession::MakeCall(core::Millis now) const -> WorkerCall {
  return {info_.id, info_.incarnation, info_.address, now, PollCall{}};
}

auto WorkerSession::TakeCalls(core::Millis now,
                              std::uint64_t stored,
                              TermPermit permit) -> std::vector<WorkerCall> {
  std::vector<WorkerCall> calls;
  if (replaced_) {
    return calls;
  }
  while (!pending_acknowledgements_.empty() &&
         pending_acknowledgements_.front().batch <= stored) {
    stored_end_ =
        std::max(stored_end_, pending_acknowledgements_.front().number);
    pending_acknowledgements_.pop_front();
    if (reported_end_ == stored_end_ && unanswered_polls_ == 0) {
      next_poll_at_ = std::min(next_poll_at_, now);
    }
  }
  if (info_.address.host.empty()) {
    return calls;
  }
  if (grants_paused_ && may_grant(stored)) {
    grants_paused_ = false;
    if (unanswered_polls_ == 0) {
      next_poll_at_ = std::min(next_poll_at_, now);
    }
  }
  permit.may_renew = permit.may_renew && may_grant(stored);
  if (has_answered_) {
    const auto in_flight = std::min(RunCallsInFlight(), kMaxRunCalls);
    permit.max_run_calls =
        std::min(permit.max_run_calls, kMaxRunCalls - in_flight);
    AddRunCalls(now, stored, permit, calls);
    AddOrphanRunCalls(now, permit, calls);
  }
  AddPolls(now, permit.may_renew, calls);
  return calls;
}

auto WorkerSession::RunCallsInFlight() const -> std::size_t {
  const auto is_in_flight = [](const auto& entry) {
    return entry.second.call_in_flight;
  };
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), is_in_flight) +
      std::count_if(orphan_runs_.begin(), orphan_runs_.end(), is_in_flight));
}

auto WorkerSession::NextCallAt(std::uint64_t stored) const
    -> std::optional<core::Millis> {
  std::optional<core::Millis> next;
  const auto add = [&next](core::Millis at) {
    next = std::min(next.value_or(at), at);
  };
  if (replaced_ || info_.address.host.empty()) {
    return next;
  }
  if (!waiting_poll_in_flight_ && WantsPoll()) {
    add(next_poll_at_);
  }
  if (!has_answered_) {
    return next;
  }
  if (immediate_poll_wanted_ && !immediate_poll_in_flight_) {
    add(0);
  }
  for (const auto& [task, run] : runs_) {
    if (WantsCall(run, stored)) {
      add(run.next_call_at);
    }
  }
  for (const auto& [key, orphan] : orphan_runs_) {
    if (!orphan.call_in_flight && !orphan.stop_confirmed_at) {
      add(orphan.next_call_at);
    }
  }
  return next;
}

auto WorkerSession::AwaitsStore(std::uint64_t stored) const -> bool {
  return !pending_acknowledgements_.empty() || lease_row_deleted_in_ > stored ||
         std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
           return entry.second.phase == RunPhase::kStarting &&
                  entry.second.batch > stored;
         });
}

auto WorkerSession::AddRunCalls(core::Millis now,
                                std::uint64_t stored,
                                TermPermit permit,
                                std::vector<WorkerCall>& calls) -> void {
  for (auto& [task, run] : runs_) {
    if (calls.size() >= permit.max_run_calls) {
      return;
    }
    if (run.call_in_flight || run.next_call_at > now) {
      continue;
    }
    // A successor may have found the run absent and placed the task elsewhere,
    // and a worker that was reborn since has forgotten the successor's fence.
    const auto may_start =
        permit.may_renew && permit.may_start &&
        (!run.start_unanswered ||
         permit.confirmed_at >= run.next_call_at - kRepeatMs);
    if (run.phase == RunPhase::kStarting && run.batch <= stored && may_start) {
      auto call = MakeCall(now);
      auto lease_until = GrantLease(now);
      if (permit.starts_until) {
        // A worker refuses a start whose lease has expired, so that one which
        // arrives late, after a pause of this process or a lost segment, does
        // not begin. A poll grants the rest of the lease.
        lease_until =
            std::min(lease_until, clock_.Earliest(*permit.starts_until));
      }
      call.command = StartCall{task, run.attempt, run.payload, run.checkpoint,
                               lease_until};
      run.start_sent = true;
      run.call_in_flight = true;
      calls.push_back(std::move(call));
    } else if (run.phase == RunPhase::kStopping && !run.stop_confirmed_at) {
      auto call = MakeCall(now);
      call.command = StopCall{task, run.attempt};
      run.call_in_flight = true;
      calls.push_back(std::move(call));
    }
  }
}

auto WorkerSession::AddOrphanRunCalls(core::Millis now,
                                      TermPermit permit,
                                      std::vector<WorkerCall>& calls) -> void {
  for (auto& [key, orphan] : orphan_runs_) {
    if (calls.size() >= permit.max_run_calls) {
      return;
    }
    if (orphan.call_in_flight || orphan.stop_confirmed_at ||
        orphan.next_call_at > now) {
      continue;
    }
    auto call = MakeCall(now);
    call.command = StopCall{key.first, key.second};
    orphan.call_in_flight = true;
    calls.push_back(std::move(call));
  }
}

auto WorkerSession::AddPolls(core::Millis now,
                             bool may_grant,
                             std::vector<WorkerCall>& calls) -> void {
  const auto unstored = reported_end_ > stored_end_;
  PollCall poll;
  // A new incarnation numbers its ends anew and would drop those up to this.
  poll.acknowledged = is_answering() ? stored_end_ : 0;
  if (may_grant && has_answered_ && !runs_.empty() &&
      unanswered_polls_ < kMaxUnansweredPolls) {
    poll.lease_until = GrantLease(now);
  }
  auto call = MakeCall(now);
  if (immediate_poll_wanted_ && has_answered_ && !immediate_poll_in_flight_) {
    immediate_poll_wanted_ = false;
    immediate_poll_in_flight_ = true;
    poll.immediate = true;
    call.command = poll;
    calls.push_back(call);
    return;
  }
  if (waiting_poll_in_flight_ || !WantsPoll() || next_poll_at_ > now) {
    return;
  }
  // After a failed poll an answer at once shows sooner what has happened.
  if (is_answering() && !runs_.empty() && !unstored && !grants_paused_) {
    poll.wait_ms = kPollWaitMs;
  }
  waiting_poll_in_flight_ = true;
  call.command = poll;
  calls.push_back(call);
}

auto WorkerSession::OnStart(const StartCall& call,
                            const CallResult& result,
                            core::Millis now) -> std::optional<EndedRun> {
  if (result.clock_ms) {
    clock_.Observe(*result.clock_ms, now);
  }
  if (result.end == CallEnd::kDone) {
    begun_tasks_.push_back(call.task);
  }
  const auto found = runs_.find(call.task);
  if (found == runs_.end() || found->second.attempt != call.attempt) {
    return std::nullopt;
  }
  auto& run = found->second;
  run.call_in_flight = false;
  switch (result.end) {
    case CallEnd::kDone:
      run.started_at = now;
      run.confirmed_at = now;
      if (result.clock_ms) {
        run.RecordStart(*result.clock_ms);
      }
      if (run.phase == RunPhase::kStarting) {
        run.phase = RunPhase::kRunning;
      }
      return std::nullopt;
    case CallEnd::kUnknown:
    case CallEnd::kFenced:
      run.start_unanswered = true;
      run.next_call_at = now + kRepeatMs;
      return std::nullopt;
    case CallEnd::kLeaseExpired:
      run.next_call_at = now;
      return std::nullopt;
    case CallEnd::kSuperseded:
      // The run has ended, or was stopped before it began; the next poll
      // shows which.
      run.phase = RunPhase::kStopping;
      run.stop_confirmed_at = now;
      immediate_poll_wanted_ = true;
      return std::nullopt;
    case CallEnd::kNoCapacity:
    case CallEnd::kInvalid:
    case CallEnd::kUnhealthy:
    case CallEnd::kOtherIncarnation:
    case CallEnd::kNeverSent:
      break;
  }
  if (run.start_unanswered) {
    // An earlier start of this run may still take effect.
    run.phase = RunPhase::kStopping;
    run.next_call_at = now;
    return std::nullopt;
  }
  return RemoveRun(call.task, RunEnd::kLost);
}

auto WorkerSession::OnStop(const StopCall& call,
                           const CallResult& result,
                           core::Millis now) -> void {
  if (result.clock_ms) {
    clock_.Observe(*result.clock_ms, now);
  }
  const auto stopped = result.end == CallEnd::kDone;
  if (const auto orphan = orphan_runs_.find({call.task, call.attempt});
      orphan != orphan_runs_.end()) {
    orphan->second.call_in_flight = false;
    orphan->second.next_call_at = now + kRepeatMs;
    if (stopped) {
      orphan->second.stop_confirmed_at = now;
      immediate_poll_wanted_ = true;
    }
  }
  const auto found = runs_.find(call.task);
  if (found == runs_.end() || found->second.attempt != call.attempt) {
    return;
  }
  found->second.call_in_flight = false;
  found->second.next_call_at = now + kRepeatMs;
  if (stopped) {
    found->second.stop_confirmed_at = now;
    immediate_poll_wanted_ = true;
  }
}

auto WorkerSession::TakeLapsedRuns(core::Millis now) -> std::vector<EndedRun> {
  std::vector<EndedRun> lapsed;
  if (runs_.empty() || (has_answered_ && unanswered_polls_ == 0 && listed_)) {
    return lapsed;
  }
  if (listed_ && !has_answered_ && unanswered_polls_ == 0 &&
      !info_.address.host.empty()) {
    // The first poll may return ends, so that done work need not run again.
    return lapsed;
  }
  // A lease of this holder ends after those of former holders, from whose calls
  // the worker's first answer has fenced it. Without one, those count.
  const auto has_granted = lease_until_ > 0;
  const auto is_over =
      has_granted ? clock_.Earliest(now) > lease_until_ + kLapseMarginMs
                  : now > former_leases_->end();
  std::vector<TaskId> over;
  for (const auto& [task, run] : runs_) {
    if (is_over || (!has_granted && has_answered_ && !run.start_sent)) {
      over.push_back(task);
    }
  }
  for (const auto& task : over) {
    lapsed.push_back(RemoveRun(task, RunEnd::kLapsed));
  }
  return lapsed;
}

}  // namespace kcm::dispatch
