#include "LibGang/gang.h"

#include <algorithm>
#include <utility>

#include "LibCore/check.h"
#include "LibCore/json_decode.h"

namespace kcm::gang {

namespace {

using platform::CommandOutcome;
using platform::LeaseCommand;
using platform::LeaseState;

/// Older reports of a held lease do not count as current.
constexpr core::Millis kMaxReportAgeMs = 1500;
/// Time after which an unanswered command is sent again.
constexpr core::Millis kResendAfterMs = 1000;
/// Time that a task runs throttled before it is checkpointed or stopped.
constexpr core::Millis kThrottleMs = 300;
/// Part of the reclaim bound reserved for timers and the closing record.
constexpr core::Millis kReclaimReserveMs = 1000;

auto IsLost(LeaseState state) -> bool {
  return state == LeaseState::kUnknown || state == LeaseState::kStopped;
}

auto IsStarted(LeaseState state) -> bool {
  return state != LeaseState::kHeld && !IsLost(state);
}

}  // namespace

Gang::Gang(state::Job job, const GangSettings& settings, core::Millis now)
    : job_(std::move(job)), settings_(settings), members_(job_.members.size()) {
  KCM_CHECK(!members_.empty());
  for (auto& member : members_) {
    member.last_report_at = now;
    member.renewed_at = now;
  }
}

auto Gang::Assemble(state::Job job,
                    const GangSettings& settings,
                    core::Millis now) -> Gang {
  return {std::move(job), settings, now};
}

auto Gang::Adopt(state::Job job, const GangSettings& settings, core::Millis now)
    -> Gang {
  Gang gang(std::move(job), settings, now);
  gang.phase_ = GangPhase::kPlaced;
  gang.may_have_started_ = true;
  gang.cancelled_ = gang.job_.cancel_requested;
  for (auto& member : gang.members_) {
    // The earlier term holder may renew until it reads the newer term.
    member.renewed_at = now + settings.handover_ms;
  }
  return gang;
}

auto Gang::Apply(const GangEvent& event, core::Millis now) -> GangActions {
  std::visit([this, now](const auto& concrete) { HandleEvent(concrete, now); },
             event);
  Advance(now);
  return std::exchange(actions_, {});
}

auto Gang::NeedsRenewal(std::size_t member) const -> bool {
  switch (phase_) {
    case GangPhase::kAcquiring:
      return members_[member].granted;
    case GangPhase::kCommitting:
    case GangPhase::kPlaced:
    case GangPhase::kPreempting:
      return true;
    case GangPhase::kStopping:
      return false;
    case GangPhase::kClosing:
      return keep_leases_;
  }
  return false;
}

auto Gang::CheckpointOf(std::size_t member) const -> std::string {
  const auto list = core::ParseJson(job_.checkpoint);
  return list.is_array() && member < list.size()
             ? list[member].get<std::string>()
             : "";
}

auto Gang::PreemptionDuration(core::Millis now) const
    -> std::optional<core::Millis> {
  return reclaim_since_ ? std::optional(now - *reclaim_since_) : std::nullopt;
}

auto Gang::HandleEvent(const LeaseAnswered& event, core::Millis now) -> void {
  auto& member = members_[event.member];
  member.granted = event.outcome == CommandOutcome::kDone;
  member.refused = !member.granted;
  if (member.granted) {
    member.reported = true;
    member.last_report_at = now;
    member.report.state = LeaseState::kHeld;
  }
  // A call without an answer may still have acquired the lease.
  member.cannot_run = event.outcome == CommandOutcome::kRefused ||
                      event.outcome == CommandOutcome::kNeverSent;
}

auto Gang::HandleEvent(const CommitSettled& event, core::Millis now) -> void {
  if (phase_ != GangPhase::kCommitting) {
    return;
  }
  if (!event.accepted) {
    StopAll(AbandonAssembly{}, now);
    return;
  }
  phase_ = GangPhase::kPlaced;
  // The commit may have taken long; starting requires newer reports.
  for (auto& member : members_) {
    member.reported = false;
  }
}

auto Gang::HandleEvent(const RenewalSent& event, core::Millis now) -> void {
  auto& renewed_at = members_[event.member].renewed_at;
  renewed_at = std::max(renewed_at, now);
}

auto Gang::HandleEvent(const MemberReported& event, core::Millis now) -> void {
  auto& member = members_[event.member];
  member.reported = true;
  member.last_report_at = now;
  member.report = event.report;
  may_have_started_ = may_have_started_ || IsStarted(event.report.state);
}

auto Gang::HandleEvent(const StopAnswered& event, core::Millis /*now*/)
    -> void {
  auto& member = members_[event.member];
  // A refusal means that the worker has no such lease and grants none later.
  member.cannot_run = member.cannot_run ||
                      event.outcome == CommandOutcome::kDone ||
                      event.outcome == CommandOutcome::kRefused;
}

auto Gang::HandleEvent(const CancelRequested& /*event*/, core::Millis /*now*/)
    -> void {
  cancelled_ = true;
}

auto Gang::HandleEvent(const PreemptRequested& event, core::Millis now)
    -> void {
  const bool may_stop = job_.spec.recovery != state::Recovery::kNone;
  if (phase_ != GangPhase::kPlaced || !may_stop) {
    return;
  }
  phase_ = GangPhase::kPreempting;
  reclaim_since_ = now;
  beneficiary_ = event.beneficiary;
}

auto Gang::HandleEvent(const CloseRefused& /*event*/, core::Millis /*now*/)
    -> void {
  if (phase_ == GangPhase::kClosing) {
    actions_.push_back(*closing_);
  }
}

auto Gang::Advance(core::Millis now) -> void {
  switch (phase_) {
    case GangPhase::kAcquiring:
      AdvanceAcquiring(now);
      return;
    case GangPhase::kPlaced:
      AdvancePlaced(now);
      return;
    case GangPhase::kPreempting:
      AdvanceReclaiming(now);
      return;
    case GangPhase::kStopping:
      AdvanceStopping(now);
      return;
    case GangPhase::kCommitting:
    case GangPhase::kClosing:
      return;
  }
}

auto Gang::AdvanceAcquiring(core::Millis now) -> void {
  const auto refused = [](const auto& member) { return member.refused; };
  const auto granted = [](const auto& member) { return member.granted; };
  if (cancelled_ || std::any_of(members_.begin(), members_.end(), refused)) {
    const auto unanswered = [](const auto& member) {
      return !member.granted && !member.refused;
    };
    // A worker refuses a lease that was already stopped, so that waiting for
    // the answer or timeout of each call suffices.
    if (std::none_of(members_.begin(), members_.end(), unanswered)) {
      StopAll(AbandonAssembly{}, now);
    }
    return;
  }
  if (std::all_of(members_.begin(), members_.end(), granted)) {
    phase_ = GangPhase::kCommitting;
    actions_.emplace_back(CommitPlacement{});
  }
}

auto Gang::FindBreakReason(core::Millis now) const -> std::string {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto& member = members_[i];
    const auto& worker = job_.members[i].worker;
    if (member.reported && IsLost(member.report.state)) {
      return "worker " + worker + " lost its lease";
    }
    if (now - member.last_report_at > settings_.member_timeout_ms) {
      return "worker " + worker + " fell silent";
    }
  }
  return "";
}

auto Gang::FindFailedWorker() const -> std::string {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].report.state == LeaseState::kFailed) {
      return job_.members[i].worker;
    }
  }
  return "";
}

auto Gang::CountMembersIn(LeaseState state) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [state](const auto& m) {
        return m.reported && m.report.state == state;
      }));
}

auto Gang::AdvancePlaced(core::Millis now) -> void {
  if (CountMembersIn(LeaseState::kDone) == members_.size()) {
    keep_leases_ = true;
    CloseAttempt(RecordEnd{state::JobStatus::kDone, "", ""});
    return;
  }
  if (cancelled_) {
    StopAll(RecordEnd{state::JobStatus::kCancelled, "cancelled by caller", ""},
            now);
    return;
  }
  if (const auto failed = FindFailedWorker(); !failed.empty()) {
    const auto reason = "the task failed on worker " + failed;
    if (job_.spec.recovery == state::Recovery::kRestartable) {
      // Further attempts show the planner whether the worker or the job is bad.
      StopAll(RecordRequeue{"", true, reason, failed}, now);
    } else {
      StopAll(RecordEnd{state::JobStatus::kFailed, reason, failed}, now);
    }
    return;
  }
  if (const auto broken = FindBreakReason(now); !broken.empty()) {
    Interrupt(broken, now);
    return;
  }
  if (CountMembersIn(LeaseState::kCheckpointed) > 0) {
    // A preemption of an earlier term is in progress.
    phase_ = GangPhase::kPreempting;
    reclaim_since_ = now;
    AdvanceReclaiming(now);
    return;
  }
  StartHeldMembers(now);
}

auto Gang::StartHeldMembers(core::Millis now) -> void {
  const auto fresh = [now](const auto& member) {
    return member.reported && now - member.last_report_at <= kMaxReportAgeMs;
  };
  if (CountMembersIn(LeaseState::kHeld) == 0 ||
      !std::all_of(members_.begin(), members_.end(), fresh)) {
    return;
  }
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].report.state == LeaseState::kHeld) {
      may_have_started_ = true;
      SendCommandOnce(i, LeaseCommand::kStart, now);
    }
  }
}

auto Gang::AdvanceReclaiming(core::Millis now) -> void {
  const auto reason = beneficiary_.empty() ? std::string("preempted")
                                           : "preempted for " + beneficiary_;
  const auto elapsed = now - *reclaim_since_;
  if (CountMembersIn(LeaseState::kCheckpointed) == members_.size()) {
    keep_leases_ = true;
    CloseAttempt(RecordRequeue{JoinCheckpoints(), true, reason, ""});
    return;
  }
  if (CountMembersIn(LeaseState::kDone) == members_.size()) {
    AdvancePlaced(now);
    return;
  }
  const bool checkpoints =
      job_.spec.recovery == state::Recovery::kCheckpointable;
  const auto checkpoint_until =
      settings_.reclaim_bound_ms - LeaseExpiryMs(settings_) - kReclaimReserveMs;
  const bool broken = !FindBreakReason(now).empty();
  if (cancelled_ || broken || elapsed >= checkpoint_until ||
      (!checkpoints && elapsed >= kThrottleMs)) {
    Interrupt(reason, now);
    return;
  }
  if (!std::exchange(throttled_, true)) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      actions_.emplace_back(CommandMember{i, LeaseCommand::kThrottle});
    }
  }
  // FIXME: A gang with a member that is done cannot be checkpointed as a whole;
  // it may run on until the stop.
  if (!checkpoints || elapsed < kThrottleMs ||
      CountMembersIn(LeaseState::kDone) > 0) {
    return;
  }
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].report.state != LeaseState::kCheckpointed) {
      SendCommandOnce(i, LeaseCommand::kCheckpoint, now);
    }
  }
}

auto Gang::AdvanceStopping(core::Millis now) -> void {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    auto& member = members_[i];
    member.cannot_run = member.cannot_run ||
                        now >= member.renewed_at + LeaseExpiryMs(settings_);
    if (!member.cannot_run) {
      SendCommandOnce(i, LeaseCommand::kStop, now);
    }
  }
  // Before the commit nothing runs, so that expiring leases need no waiting.
  const bool never_placed = std::holds_alternative<AbandonAssembly>(*closing_);
  if (never_placed ||
      std::all_of(members_.begin(), members_.end(),
                  [](const auto& member) { return member.cannot_run; })) {
    CloseAttempt(GangAction(*closing_));
  }
}

auto Gang::StopAll(GangAction closing, core::Millis now) -> void {
  closing_ = std::move(closing);
  phase_ = GangPhase::kStopping;
  AdvanceStopping(now);
}

auto Gang::Interrupt(const std::string& reason, core::Millis now) -> void {
  if (cancelled_) {
    StopAll(RecordEnd{state::JobStatus::kCancelled, "cancelled by caller", ""},
            now);
    return;
  }
  StopAll(ClosingActionFor(reason), now);
}

auto Gang::ClosingActionFor(const std::string& reason) const -> GangAction {
  const bool restartable = job_.spec.recovery == state::Recovery::kRestartable;
  const bool resumes = job_.spec.recovery == state::Recovery::kCheckpointable &&
                       !job_.checkpoint.empty();
  if (restartable || resumes || !may_have_started_) {
    return RecordRequeue{job_.checkpoint, may_have_started_, reason, ""};
  }
  return RecordEnd{state::JobStatus::kLost, reason, ""};
}

auto Gang::CloseAttempt(GangAction closing) -> void {
  phase_ = GangPhase::kClosing;
  closing_ = std::move(closing);
  actions_.push_back(*closing_);
}

auto Gang::SendCommandOnce(std::size_t member,
                           LeaseCommand command,
                           core::Millis now) -> void {
  auto& last = members_[member].last_command;
  if (last && last->command == command &&
      now - last->sent_at < kResendAfterMs) {
    return;
  }
  last = SentCommand{command, now};
  actions_.emplace_back(CommandMember{member, command});
}

auto Gang::JoinCheckpoints() const -> std::string {
  core::Json list = core::Json::array();
  for (const auto& member : members_) {
    list.push_back(member.report.checkpoint);
  }
  return core::ToJsonText(list);
}

}  // namespace kcm::gang
