#include "LibGang/gang.h"

#include <algorithm>
#include <utility>

#include "LibCore/check.h"

namespace kcm::gang {

namespace {

using platform::CommandOutcome;
using platform::LeaseCommand;
using platform::LeaseState;

/// A held report older than this proves nothing about the present.
constexpr core::Millis kFreshReport = 1500;
/// Span after which an unanswered command is sent again.
constexpr core::Millis kRepeatAfter = 1000;
/// Part of the reclaim that a throttled task gets before its checkpoint.
constexpr core::Millis kThrottleSpan = 300;
/// Reserve of the reclaim bound for timers and the closing record.
constexpr core::Millis kReclaimReserve = 1000;

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
    member.heard_at = now;
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
    // The former holder may renew until it learns of the newer term.
    member.renewed_at = now + settings.handover_ms;
  }
  return gang;
}

auto Gang::Apply(const GangEvent& event, core::Millis now) -> GangActions {
  std::visit([this, now](const auto& concrete) { On(concrete, now); }, event);
  Advance(now);
  return std::exchange(actions_, {});
}

auto Gang::WantsRenewal(std::size_t member) const -> bool {
  switch (phase_) {
    case GangPhase::kAcquiring:
      return members_[member].granted;
    case GangPhase::kCommitting:
    case GangPhase::kPlaced:
    case GangPhase::kReclaiming:
      return true;
    case GangPhase::kStopping:
      return false;
    case GangPhase::kClosing:
      return keep_leases_;
  }
  return false;
}

auto Gang::CheckpointOf(std::size_t member) const -> std::string {
  const auto list = core::Json::parse(job_.checkpoint, nullptr, false);
  return list.is_array() && member < list.size()
             ? list[member].get<std::string>()
             : "";
}

auto Gang::ReclaimSpan(core::Millis now) const -> std::optional<core::Millis> {
  return reclaim_since_ ? std::optional(now - *reclaim_since_) : std::nullopt;
}

auto Gang::On(const LeaseAnswered& event, core::Millis now) -> void {
  auto& member = members_[event.member];
  member.granted = event.outcome == CommandOutcome::kDone;
  member.refused = !member.granted;
  if (member.granted) {
    member.heard = true;
    member.heard_at = now;
    member.report.state = LeaseState::kHeld;
  }
  // An unanswered call may have taken the lease all the same.
  member.gone = event.outcome == CommandOutcome::kRefused ||
                event.outcome == CommandOutcome::kNeverSent;
}

auto Gang::On(const CommitSettled& event, core::Millis now) -> void {
  if (phase_ != GangPhase::kCommitting) {
    return;
  }
  if (!event.accepted) {
    StopAll(AbandonAssembly{}, now);
    return;
  }
  phase_ = GangPhase::kPlaced;
  // The commit may have taken long: a start needs reports that are younger.
  for (auto& member : members_) {
    member.heard = false;
  }
}

auto Gang::On(const RenewalSent& event, core::Millis now) -> void {
  auto& renewed_at = members_[event.member].renewed_at;
  renewed_at = std::max(renewed_at, now);
}

auto Gang::On(const MemberReported& event, core::Millis now) -> void {
  auto& member = members_[event.member];
  member.heard = true;
  member.heard_at = now;
  member.report = event.report;
  may_have_started_ = may_have_started_ || IsStarted(event.report.state);
}

auto Gang::On(const StopAnswered& event, core::Millis /*now*/) -> void {
  auto& member = members_[event.member];
  // A refusal says that the worker has no such lease and takes none later.
  member.gone = member.gone || event.outcome == CommandOutcome::kDone ||
                event.outcome == CommandOutcome::kRefused;
}

auto Gang::On(const CancelRequested& /*event*/, core::Millis /*now*/) -> void {
  cancelled_ = true;
}

auto Gang::On(const PreemptRequested& event, core::Millis now) -> void {
  const bool may_stop = job_.spec.recovery != state::Recovery::kNone;
  if (phase_ != GangPhase::kPlaced || !may_stop) {
    return;
  }
  phase_ = GangPhase::kReclaiming;
  reclaim_since_ = now;
  beneficiary_ = event.beneficiary;
}

auto Gang::On(const CloseRefused& /*event*/, core::Millis /*now*/) -> void {
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
    case GangPhase::kReclaiming:
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
    const auto open = [](const auto& member) {
      return !member.granted && !member.refused;
    };
    // A late grant after a stop is refused by the worker, so none is awaited
    // longer than its call can last.
    if (std::none_of(members_.begin(), members_.end(), open)) {
      StopAll(AbandonAssembly{}, now);
    }
    return;
  }
  if (std::all_of(members_.begin(), members_.end(), granted)) {
    phase_ = GangPhase::kCommitting;
    actions_.emplace_back(CommitPlacement{});
  }
}

auto Gang::FindBreak(core::Millis now) const -> std::string {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto& member = members_[i];
    const auto& worker = job_.members[i].worker;
    if (member.heard && IsLost(member.report.state)) {
      return "worker " + worker + " lost its lease";
    }
    if (now - member.heard_at > settings_.member_silence_ms) {
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

auto Gang::CountIn(LeaseState state) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(),
      [state](const auto& m) { return m.heard && m.report.state == state; }));
}

auto Gang::AdvancePlaced(core::Millis now) -> void {
  if (CountIn(LeaseState::kDone) == members_.size()) {
    keep_leases_ = true;
    Close(RecordEnd{state::JobStatus::kDone, "", ""});
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
      // The planner tells a bad worker from a bad job by further attempts.
      StopAll(RecordRequeue{"", true, reason, failed}, now);
    } else {
      StopAll(RecordEnd{state::JobStatus::kFailed, reason, failed}, now);
    }
    return;
  }
  if (const auto broken = FindBreak(now); !broken.empty()) {
    Interrupt(broken, now);
    return;
  }
  if (CountIn(LeaseState::kCheckpointed) > 0) {
    // A former term was taking the capacity back.
    phase_ = GangPhase::kReclaiming;
    reclaim_since_ = now;
    AdvanceReclaiming(now);
    return;
  }
  StartHeldMembers(now);
}

auto Gang::StartHeldMembers(core::Millis now) -> void {
  const auto fresh = [now](const auto& member) {
    return member.heard && now - member.heard_at <= kFreshReport;
  };
  if (CountIn(LeaseState::kHeld) == 0 ||
      !std::all_of(members_.begin(), members_.end(), fresh)) {
    return;
  }
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].report.state == LeaseState::kHeld) {
      may_have_started_ = true;
      CommandOnce(i, LeaseCommand::kStart, now);
    }
  }
}

auto Gang::AdvanceReclaiming(core::Millis now) -> void {
  const auto reason = beneficiary_.empty() ? std::string("preempted")
                                           : "preempted for " + beneficiary_;
  const auto span = now - *reclaim_since_;
  if (CountIn(LeaseState::kCheckpointed) == members_.size()) {
    keep_leases_ = true;
    Close(RecordRequeue{JoinCheckpoints(), true, reason, ""});
    return;
  }
  if (CountIn(LeaseState::kDone) == members_.size()) {
    AdvancePlaced(now);
    return;
  }
  const bool checkpoints =
      job_.spec.recovery == state::Recovery::kCheckpointable;
  const auto checkpoint_until =
      settings_.reclaim_bound_ms - LapseSpan(settings_) - kReclaimReserve;
  const bool broken = !FindBreak(now).empty();
  if (cancelled_ || broken || span >= checkpoint_until ||
      (!checkpoints && span >= kThrottleSpan)) {
    Interrupt(reason, now);
    return;
  }
  if (!std::exchange(throttled_, true)) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      actions_.emplace_back(CommandMember{i, LeaseCommand::kThrottle});
    }
  }
  // FIXME: A gang of which one member is done cannot be checkpointed whole;
  // it gets the time up to the stop to finish.
  if (!checkpoints || span < kThrottleSpan || CountIn(LeaseState::kDone) > 0) {
    return;
  }
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].report.state != LeaseState::kCheckpointed) {
      CommandOnce(i, LeaseCommand::kCheckpoint, now);
    }
  }
}

auto Gang::AdvanceStopping(core::Millis now) -> void {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    auto& member = members_[i];
    member.gone =
        member.gone || now >= member.renewed_at + LapseSpan(settings_);
    if (!member.gone) {
      CommandOnce(i, LeaseCommand::kStop, now);
    }
  }
  // Before the commit nothing runs, so that lapsing leases need no waiting.
  const bool never_placed = std::holds_alternative<AbandonAssembly>(*closing_);
  if (never_placed ||
      std::all_of(members_.begin(), members_.end(),
                  [](const auto& member) { return member.gone; })) {
    Close(GangAction(*closing_));
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
  StopAll(ClosingFor(reason), now);
}

auto Gang::ClosingFor(const std::string& reason) const -> GangAction {
  const bool restartable = job_.spec.recovery == state::Recovery::kRestartable;
  const bool resumes = job_.spec.recovery == state::Recovery::kCheckpointable &&
                       !job_.checkpoint.empty();
  if (restartable || resumes || !may_have_started_) {
    return RecordRequeue{job_.checkpoint, may_have_started_, reason, ""};
  }
  return RecordEnd{state::JobStatus::kLost, reason, ""};
}

auto Gang::Close(GangAction closing) -> void {
  phase_ = GangPhase::kClosing;
  closing_ = std::move(closing);
  actions_.push_back(*closing_);
}

auto Gang::CommandOnce(std::size_t member,
                       LeaseCommand command,
                       core::Millis now) -> void {
  auto& last = members_[member].last_command;
  if (last && last->command == command && now - last->sent_at < kRepeatAfter) {
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
  return list.dump();
}

}  // namespace kcm::gang
