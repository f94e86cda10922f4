#include "LibDispatch/worker_session.h"

#include <algorithm>
#include <utility>

namespace kcm::dispatch {

namespace {

/// Wait of a look: a run that stands still shows after two of them.
constexpr core::Millis kLongestWaitMs = 1000;
/// Looks without an answer after which no lease is renewed any more, so that
/// the leases of a worker that is gone run out.
constexpr int kLooksToRenew = 2;
/// A call without an answer may take effect this much later.
constexpr core::Millis kLatestCallMs = 12000;
/// Added to the end of a lease for the worker to kill what it covers.
constexpr core::Millis kLapseMarginMs = 300;

}  // namespace

WorkerSession::WorkerSession(WorkerInfo info,
                             const DispatchSettings& settings,
                             core::Millis lapse_floor)
    : info_(std::move(info)), settings_(settings), lapse_floor_(lapse_floor) {}

auto WorkerSession::Describe(const WorkerInfo& info, core::Millis now)
    -> std::vector<EndedRun> {
  std::vector<EndedRun> lost;
  listed_ = true;
  if (info.life == info_.life) {
    info_ = info;
    NoteLeaving(now);
    return lost;
  }
  // Only a look tells in which life a run is. A start that no look has shown
  // may have reached the new life, which knows no fence yet: such a run is
  // gone only when the new life has acknowledged its stop.
  std::vector<Run> in_doubt;
  while (!runs_.empty()) {
    const auto task = runs_.begin()->first;
    auto ended = Erase(task, RunEnd::kVanished);
    const auto may_run = ended.run.start_lost ||
                         ended.run.phase == RunPhase::kAdopted ||
                         (ended.run.start_sent && !ended.run.listed);
    if (may_run) {
      in_doubt.push_back(std::move(ended.run));
    } else {
      lost.push_back(std::move(ended));
    }
  }
  const auto settings = settings_;
  *this = WorkerSession(info, settings,
                        now + kLatestCallMs + settings.max_lease_ms);
  for (auto& run : in_doubt) {
    run.phase = RunPhase::kStopping;
    run.start_sent = true;
    run.call_in_flight = false;
    run.listed = false;
    run.started_at.reset();
    run.seen_at.reset();
    run.stopped_at.reset();
    run.next_call_at = 0;
    Add(std::move(run));
  }
  return lost;
}

auto WorkerSession::NoteLeaving(core::Millis now) -> void {
  if (!info_.draining) {
    leaves_at_.reset();
    return;
  }
  // A listing that is read again unchanged must not put the time off.
  const auto told = now + info_.leaves_in_ms;
  leaves_at_ = std::min(leaves_at_.value_or(told), told);
}

auto WorkerSession::Add(Run run) -> void {
  used_ += run.demand;
  const auto task = run.task;
  runs_.insert_or_assign(task, std::move(run));
}

auto WorkerSession::Erase(const TaskId& task, RunEnd how) -> EndedRun {
  auto node = runs_.extract(task);
  used_ -= node.mapped().demand;
  return {std::move(node.mapped()), how};
}

auto WorkerSession::Stop(const TaskId& task, core::Millis now)
    -> std::optional<EndedRun> {
  const auto found = runs_.find(task);
  if (found == runs_.end()) {
    return std::nullopt;
  }
  auto& run = found->second;
  if (run.phase == RunPhase::kStarting && !run.start_sent) {
    return Erase(task, RunEnd::kVanished);
  }
  if (run.phase != RunPhase::kStopping) {
    run.phase = RunPhase::kStopping;
    run.stopped_at.reset();
    run.next_call_at = now;
  }
  return std::nullopt;
}

auto WorkerSession::Grant(core::Millis now) -> core::Millis {
  const auto until = clock_.Estimate(now) + settings_.max_lease_ms;
  lease_until_ = std::max(lease_until_, until);
  return until;
}

auto WorkerSession::CallOf(core::Millis now) const -> WorkerCall {
  return {info_.id, info_.life, info_.address, now, LookCall{}};
}

auto WorkerSession::TakeCalls(core::Millis now,
                              std::uint64_t stored,
                              bool may_renew) -> std::vector<WorkerCall> {
  std::vector<WorkerCall> calls;
  while (!notes_.empty() && notes_.front().batch <= stored) {
    seen_ = std::max(seen_, notes_.front().number);
    notes_.pop_front();
    if (told_ == seen_ && silent_looks_ == 0) {
      next_look_at_ = std::min(next_look_at_, now);
    }
  }
  if (info_.address.host.empty()) {
    return calls;
  }
  if (greeted_) {
    AddRunCalls(now, stored, may_renew, calls);
    AddStrayCalls(now, calls);
  }
  AddLook(now, may_renew, calls);
  return calls;
}

auto WorkerSession::AddRunCalls(core::Millis now,
                                std::uint64_t stored,
                                bool may_renew,
                                std::vector<WorkerCall>& calls) -> void {
  for (auto& [task, run] : runs_) {
    if (run.call_in_flight || run.next_call_at > now) {
      continue;
    }
    if (run.phase == RunPhase::kStarting && run.batch <= stored && may_renew) {
      auto call = CallOf(now);
      call.what =
          StartCall{task, run.attempt, run.payload, run.checkpoint, Grant(now)};
      run.start_sent = true;
      run.call_in_flight = true;
      calls.push_back(std::move(call));
    } else if (run.phase == RunPhase::kStopping && !run.stopped_at) {
      auto call = CallOf(now);
      call.what = StopCall{task, run.attempt};
      run.call_in_flight = true;
      calls.push_back(std::move(call));
    }
  }
}

auto WorkerSession::AddStrayCalls(core::Millis now,
                                  std::vector<WorkerCall>& calls) -> void {
  for (auto& [key, stray] : strays_) {
    if (stray.call_in_flight || stray.stopped_at || stray.next_call_at > now) {
      continue;
    }
    auto call = CallOf(now);
    call.what = StopCall{key.first, key.second};
    stray.call_in_flight = true;
    calls.push_back(std::move(call));
  }
}

auto WorkerSession::AddLook(core::Millis now,
                            bool may_renew,
                            std::vector<WorkerCall>& calls) -> void {
  const auto unstored = told_ > seen_;
  const auto wanted = !greeted_ || !is_idle() || seen_ > forgotten_;
  LookCall look;
  look.seen = seen_;
  if (may_renew && greeted_ && !runs_.empty() &&
      silent_looks_ < kLooksToRenew) {
    look.lease_until = Grant(now);
  }
  auto call = CallOf(now);
  if (want_quick_look_ && greeted_ && !quick_look_) {
    want_quick_look_ = false;
    quick_look_ = true;
    look.quick = true;
    call.what = look;
    calls.push_back(call);
    return;
  }
  if (waiting_look_ || !wanted || next_look_at_ > now) {
    return;
  }
  if (greeted_ && !runs_.empty() && !unstored) {
    look.wait_ms = kLongestWaitMs;
  }
  waiting_look_ = true;
  call.what = look;
  calls.push_back(call);
}

auto WorkerSession::OnStart(const StartCall& call,
                            const CallResult& result,
                            core::Millis now) -> std::optional<EndedRun> {
  if (result.clock_ms) {
    clock_.Observe(*result.clock_ms, now);
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
      run.seen_at = now;
      run.moved_at = now;
      if (run.phase == RunPhase::kStarting) {
        run.phase = RunPhase::kRunning;
      }
      return std::nullopt;
    case CallEnd::kUnknown:
    case CallEnd::kFenced:
      run.start_lost = true;
      run.next_call_at = now + kRepeatMs;
      return std::nullopt;
    case CallEnd::kLate:
      run.next_call_at = now;
      return std::nullopt;
    case CallEnd::kSuperseded:
      // The run has ended there, or was stopped before it began; the next
      // look tells which.
      run.phase = RunPhase::kStopping;
      run.stopped_at = now;
      want_quick_look_ = true;
      return std::nullopt;
    case CallEnd::kNoRoom:
    case CallEnd::kInvalid:
    case CallEnd::kUnhealthy:
    case CallEnd::kOtherLife:
    case CallEnd::kNeverSent:
      break;
  }
  if (run.start_lost) {
    // An earlier start of this run may take effect yet.
    run.phase = RunPhase::kStopping;
    run.next_call_at = now;
    return std::nullopt;
  }
  return Erase(call.task, RunEnd::kVanished);
}

auto WorkerSession::OnStop(const StopCall& call,
                           const CallResult& result,
                           core::Millis now) -> void {
  if (result.clock_ms) {
    clock_.Observe(*result.clock_ms, now);
  }
  const auto stopped = result.end == CallEnd::kDone;
  if (const auto stray = strays_.find({call.task, call.attempt});
      stray != strays_.end()) {
    stray->second.call_in_flight = false;
    stray->second.next_call_at = now + kRepeatMs;
    if (stopped) {
      stray->second.stopped_at = now;
      want_quick_look_ = true;
    }
  }
  const auto found = runs_.find(call.task);
  if (found == runs_.end() || found->second.attempt != call.attempt) {
    return;
  }
  found->second.call_in_flight = false;
  found->second.next_call_at = now + kRepeatMs;
  if (stopped) {
    found->second.stopped_at = now;
    want_quick_look_ = true;
  }
}

auto WorkerSession::TakeLapsed(core::Millis now) -> std::vector<EndedRun> {
  std::vector<EndedRun> lapsed;
  if (runs_.empty() || (greeted_ && silent_looks_ == 0 && listed_)) {
    return lapsed;
  }
  const auto is_over =
      greeted_ ? clock_.Earliest(now) > lease_until_ + kLapseMarginMs
               : now > lapse_floor_;
  if (!is_over) {
    return lapsed;
  }
  while (!runs_.empty()) {
    const auto task = runs_.begin()->first;
    lapsed.push_back(Erase(task, RunEnd::kLapsed));
  }
  return lapsed;
}

}  // namespace kcm::dispatch
