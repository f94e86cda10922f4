#include "term_keeper.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibMember/term_policy.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kClaimTimeout = 5000;
/// A gap between two ticks that counts as a pause of the process.
constexpr core::Millis kPauseGap = 800;
/// After a pause, messages that waited in the sockets are read first.
constexpr core::Millis kHoldAfterPause = 1000;
constexpr core::Millis kConfirmedWithin = 1500;
/// Age of an unanswered claim after which the log counts as down.
constexpr core::Millis kClaimStuckAfter = 1500;

}  // namespace

TermKeeper::TermKeeper(node::Node& node,
                       node::Heartbeats& heartbeats,
                       const node::LogFollower& follower,
                       std::string data_centre)
    : node_(node),
      heartbeats_(heartbeats),
      follower_(follower),
      data_centre_(std::move(data_centre)),
      settled_since_(core::MonotonicNow()),
      ticked_at_(settled_since_) {}

auto TermKeeper::cell() const -> const state::CellFold& {
  return *node_.log().world().FindCell(data_centre_);
}

auto TermKeeper::number() const -> std::int64_t {
  return cell().term().number;
}

auto TermKeeper::Leads() const -> bool {
  return !resigned_ && cell().term().holder == node_.self();
}

auto TermKeeper::MayAct() const -> bool {
  const auto now = core::MonotonicNow();
  return Leads() && now - ticked_at_ < kPauseGap && now >= held_until_ &&
         follower_.ConfirmedAge() < kConfirmedWithin;
}

auto TermKeeper::RenewsForHolder() const -> bool {
  return claiming_ && !cell().term().holder.empty() && ShouldClaim() &&
         core::MonotonicNow() - claiming_since_ >= kClaimStuckAfter;
}

auto TermKeeper::Tick() -> void {
  WatchClock();
  if (!claiming_ && ShouldClaim()) {
    Claim();
  }
}

auto TermKeeper::WatchClock() -> void {
  const auto now = core::MonotonicNow();
  const auto gap = now - std::exchange(ticked_at_, now);
  if (gap < kPauseGap) {
    return;
  }
  held_until_ = now + kHoldAfterPause;
  settled_since_ = now;
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
  view.settled_ms = core::MonotonicNow() - settled_since_;
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

auto TermKeeper::Claim() -> void {
  const auto now = core::MonotonicNow();
  claiming_ = true;
  // Claims that follow each other without a verdict count as one.
  claiming_since_ = claiming_since_ == 0 ? now : claiming_since_;
  const state::Term claim{number() + 1, node_.self()};
  node_.writer().Append(
      state::JobStreamOf(data_centre_),
      state::MakeRecord(state::RecordKind::kTermClaimed, node_.self(), claim),
      now + kClaimTimeout, [this, claim](const state::Verdict& verdict) {
        claiming_ = false;
        const auto kind = verdict.reason.kind;
        if (verdict.accepted || kind == core::ErrorKind::kConflict) {
          claiming_since_ = 0;
        }
        if (verdict.accepted) {
          core::LogEvent(
              core::Event::kTermClaimed,
              {{"data_centre", data_centre_}, {"term", claim.number}});
        }
      });
}

}  // namespace kcm::scheduler
