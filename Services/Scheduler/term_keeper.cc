#include "term_keeper.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibMember/term_policy.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kClaimTimeoutMs = 5000;
/// Gap between two calls of MaintainTerm() that counts as a process pause.
constexpr core::Millis kPauseThresholdMs = 800;
/// After a pause, messages queued in the sockets are read before any command.
constexpr core::Millis kCommandDelayAfterPauseMs = 1000;
constexpr core::Millis kMaxConfirmedAgeMs = 1500;
/// Age of an unanswered claim after which the log is treated as down.
constexpr core::Millis kClaimStallThresholdMs = 1500;

}  // namespace

TermKeeper::TermKeeper(node::Node& node,
                       node::Heartbeats& heartbeats,
                       const node::LogFollower& follower,
                       std::string data_centre)
    : node_(node),
      heartbeats_(heartbeats),
      follower_(follower),
      data_centre_(std::move(data_centre)),
      running_since_(core::MonotonicNow()),
      maintained_at_(running_since_) {}

auto TermKeeper::cell() const -> const state::CellFold& {
  return *node_.log().cluster_state().FindCell(data_centre_);
}

auto TermKeeper::number() const -> std::int64_t {
  return cell().term().number;
}

auto TermKeeper::HoldsTerm() const -> bool {
  return !resigned_ && cell().term().holder == node_.self();
}

auto TermKeeper::MayIssueCommands() const -> bool {
  const auto now = core::MonotonicNow();
  return HoldsTerm() && now - maintained_at_ < kPauseThresholdMs &&
         now >= commands_withheld_until_ &&
         follower_.ConfirmedAge() < kMaxConfirmedAgeMs;
}

auto TermKeeper::ShouldRenewForHolder() const -> bool {
  return claim_in_flight_ && !cell().term().holder.empty() && ShouldClaim() &&
         core::MonotonicNow() - claims_unanswered_since_ >=
             kClaimStallThresholdMs;
}

auto TermKeeper::MaintainTerm() -> void {
  DetectPause();
  if (!claim_in_flight_ && ShouldClaim()) {
    ClaimTerm();
  }
}

auto TermKeeper::DetectPause() -> void {
  const auto now = core::MonotonicNow();
  const auto gap = now - std::exchange(maintained_at_, now);
  if (gap < kPauseThresholdMs) {
    return;
  }
  commands_withheld_until_ = now + kCommandDelayAfterPauseMs;
  running_since_ = now;
  core::LogEvent(core::Event::kSchedulerPaused,
                 {{"data_centre", data_centre_}, {"gap_ms", gap}});
}

auto TermKeeper::ShouldClaim() const -> bool {
  if (resigned_) {
    return false;
  }
  member::ClaimView view;
  view.self = node_.self();
  view.holder = cell().term().holder;
  view.holder_alive = heartbeats_.IsAlive(view.holder);
  view.running_ms = core::MonotonicNow() - running_since_;
  view.candidates.push_back({node_.self(), true});
  for (const auto& peer : node_.settings().peers) {
    const auto name = node::BusNameOf(peer.name, node::Role::kScheduler);
    if (peer.region == node_.settings().region && name != node_.self()) {
      view.candidates.push_back({name, heartbeats_.IsAlive(name)});
    }
  }
  std::sort(view.candidates.begin(), view.candidates.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  return member::ShouldClaim(view);
}

auto TermKeeper::ClaimTerm() -> void {
  const auto now = core::MonotonicNow();
  claim_in_flight_ = true;
  // Consecutive claims without a result count as one.
  claims_unanswered_since_ =
      claims_unanswered_since_ == 0 ? now : claims_unanswered_since_;
  const state::Term claim{number() + 1, node_.self()};
  node_.writer().Append(
      state::JobStreamOf(data_centre_),
      state::MakeRecord(state::RecordKind::kTermClaimed, node_.self(), claim),
      now + kClaimTimeoutMs, [this, claim](const state::ApplyResult& result) {
        claim_in_flight_ = false;
        const auto kind = result.reason.kind;
        if (result.accepted || kind == core::ErrorKind::kConflict) {
          claims_unanswered_since_ = 0;
        }
        if (result.accepted) {
          core::LogEvent(
              core::Event::kTermClaimed,
              {{"data_centre", data_centre_}, {"term", claim.number}});
        }
      });
}

}  // namespace kcm::scheduler
