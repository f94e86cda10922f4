#include "LibEntry/holder.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "LibCore/event.h"

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

/// Span between two appends, so that others see in the store that the holder
/// lives: half of what an isolated process watches before it claims.
constexpr Millis kRenewMs = 800;
/// A holder without the store renews no leases after this span, so that its
/// successor can tell when the last of them has lapsed.
constexpr Millis kStoreSilenceMs = 4000;
/// An append that takes longer means that new jobs cannot be stored in time.
constexpr Millis kStalledMs = 1000;
/// An append that the store has refused for this long, a quarter of our users'
/// shortest objective, is not going to be taken in time for its callers.
constexpr Millis kRefusedMs = 120;
/// A holder whose term was confirmed this recently may say that a job does not
/// exist: no successor has accepted jobs for longer than that.
constexpr Millis kFreshMs = 2000;
/// Pause between reads of the workers' listings. Their heartbeats come every
/// second or so, and a worker that drains takes work for seconds yet.
constexpr Millis kFleetPauseMs = 400;
constexpr Millis kAppendRetryMs = 40;
/// A start or stop takes two crossings between regions; an answer that is lost
/// costs this much before the call is repeated.
constexpr Millis kCallTimeoutMs = 600;
constexpr Millis kLookTimeoutMs = 800;
/// Timeout of an append by the number of its failures so far.
constexpr std::array<Millis, 4> kAppendTimeouts = {400, 600, 1200, 2500};
/// A worker's clock may lose this share; see WorkerClock.
constexpr double kDriftFactor = 1.03;
constexpr Millis kLapseMarginMs = 500;

/// @return when the last lease that a former holder granted has lapsed.
auto LapseFloor(const EntrySettings& settings) -> Millis {
  const auto lease = static_cast<double>(settings.dispatch.max_lease_ms);
  return core::SuspendAwareNow() + kStoreSilenceMs +
         static_cast<Millis>(lease * kDriftFactor) + kLapseMarginMs;
}

}  // namespace

Holder::Holder(HolderParts parts,
               const EntrySettings& settings,
               const ClaimResult& claim,
               std::function<void()> on_lost)
    : parts_(parts),
      term_(claim.term),
      on_lost_(std::move(on_lost)),
      dispatcher_(settings.dispatch),
      sequence_(claim.sequence),
      confirmed_at_(core::SuspendAwareNow()) {
  dispatcher_.Recover(claim.rows, LapseFloor(settings));
}

auto Holder::Start() -> void {
  fleet_follower_ = std::make_unique<TableFollower>(
      parts_.loop, parts_.store,
      FollowSettings{platform::Table::kFleet, 0, kFleetPauseMs},
      [this](const std::vector<dispatch::Row>& rows, bool whole) {
        OnFleet(rows, whole);
      });
}

auto Holder::Now() -> dispatch::Moment {
  return {core::SuspendAwareNow(), core::WallNow()};
}

auto Holder::SetSettings(const EntrySettings& settings) -> void {
  dispatcher_.set_settings(settings.dispatch);
}

auto Holder::SetRoutes(const RouteTable& routes) -> void {
  dispatcher_.SetQueues(routes.Policies());
  dispatcher_.SetGuarantees(routes.guarantees);
}

auto Holder::OnFleet(const std::vector<dispatch::Row>& rows, bool whole)
    -> void {
  if (whole) {
    fleet_.clear();
  }
  for (const auto& row : rows) {
    core::Reason reason;
    auto info = row.value.empty()
                    ? std::nullopt
                    : parts_.boundary.read_worker(row.key, row.value, reason);
    if (info) {
      fleet_.insert_or_assign(row.key, std::move(*info));
      continue;
    }
    if (!row.value.empty()) {
      core::LogEvent(core::Event::kRecordRejected,
                     {{"key", row.key}, {"reason", reason.message}});
    }
    fleet_.erase(row.key);
  }
  std::vector<dispatch::WorkerInfo> workers;
  workers.reserve(fleet_.size());
  for (const auto& [id, info] : fleet_) {
    workers.push_back(info);
  }
  dispatcher_.SetFleet(workers, Now());
  Pump();
}

auto Holder::Pump() -> void {
  if (!active_) {
    return;
  }
  const auto now = core::SuspendAwareNow();
  if (!on_resigned_) {
    SendCalls();
  }
  PumpAppends(now);
  LogNotes();
  if (on_resigned_ && !append_) {
    active_ = false;
    std::exchange(on_resigned_, nullptr)();
  }
}

auto Holder::SendCalls() -> void {
  const auto now = Now();
  const auto may_renew = now.steady - confirmed_at_ < kStoreSilenceMs;
  for (auto& call : dispatcher_.TakeCalls(now, may_renew)) {
    const auto is_look = std::holds_alternative<dispatch::LookCall>(call.what);
    parts_.tasks.Send(
        call, term_.epoch, is_look ? kLookTimeoutMs : kCallTimeoutMs,
        [weak = weak_from_this(), call](const dispatch::CallResult& result) {
          const auto self = weak.lock();
          if (self == nullptr || !self->active_ || self->on_resigned_) {
            return;
          }
          if (result.end == dispatch::CallEnd::kFenced) {
            // Only the store tells whether the term is lost.
            self->renew_now_ = true;
          }
          self->dispatcher_.OnResult(call, result, Now());
          self->Pump();
        });
  }
}

auto Holder::PumpAppends(Millis now) -> void {
  if (append_) {
    return;
  }
  if (auto batch = dispatcher_.TakeBatch()) {
    append_ = Append{std::move(batch->rows), batch->number, now, 0};
  } else if (renew_now_ || now - confirmed_at_ >= kRenewMs) {
    append_ = Append{{EncodeTerm(term_)}, 0, now, 0};
  } else {
    return;
  }
  renew_now_ = false;
  ++sequence_;
  SendAppend();
}

auto Holder::SendAppend() -> void {
  const auto tries = std::min<std::size_t>(
      static_cast<std::size_t>(append_->failures), kAppendTimeouts.size() - 1);
  parts_.store.Append(append_->rows, {kWriterName, term_.epoch, sequence_},
                      std::nullopt, kAppendTimeouts[tries],
                      [weak = weak_from_this()](platform::StoreEnd end) {
                        if (const auto self = weak.lock()) {
                          self->OnAppended(end);
                        }
                      });
}

auto Holder::OnAppended(platform::StoreEnd end) -> void {
  if (!active_ || !append_) {
    return;
  }
  const auto now = core::SuspendAwareNow();
  switch (end) {
    case platform::StoreEnd::kAppended:
      break;
    case platform::StoreEnd::kFenced:
    case platform::StoreEnd::kMoved:
      Lose();
      return;
    case platform::StoreEnd::kRefused:
    case platform::StoreEnd::kUnknown:
      parts_.metrics.Count("store_append_retries");
      append_->in_doubt =
          append_->in_doubt || end == platform::StoreEnd::kUnknown;
      if (IsRefused(now)) {
        WithdrawRefused();
      }
      if (++append_->failures == 1) {
        core::LogEvent(core::Event::kLogUnreachable,
                       {{"epoch", term_.epoch},
                        {"batch", append_->batch},
                        {"unknown", end == platform::StoreEnd::kUnknown}});
      }
      parts_.loop.After(kAppendRetryMs, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && self->active_ && self->append_) {
          self->SendAppend();
        }
      });
      return;
  }
  if (append_->failures > 0) {
    core::LogEvent(core::Event::kLogReachable,
                   {{"epoch", term_.epoch},
                    {"batch", append_->batch},
                    {"after_ms", now - append_->first_sent_at}});
  }
  parts_.metrics.Observe("store_append", now - append_->first_sent_at);
  confirmed_at_ = append_->first_sent_at;
  const auto batch = append_->batch;
  append_.reset();
  if (batch > 0) {
    dispatcher_.Stored(batch);
    const auto last = waiters_.upper_bound(batch);
    std::vector<Waiter> ready;
    for (auto waiter = waiters_.begin(); waiter != last; ++waiter) {
      ready.push_back(std::move(waiter->second));
    }
    waiters_.erase(waiters_.begin(), last);
    for (auto& waiter : ready) {
      waiter.done(waiter.answer);
    }
  }
  Pump();
}

auto Holder::Lose() -> void {
  active_ = false;
  core::LogEvent(core::Event::kTermLost, {{"epoch", term_.epoch}});
  for (auto& [batch, waiter] : std::exchange(waiters_, {})) {
    waiter.done({ErrorKind::kOutcomeUnknown, {}, true});
  }
  if (on_resigned_) {
    std::exchange(on_resigned_, nullptr)();
  }
  on_lost_();
}

auto Holder::Abandon() -> void {
  if (active_) {
    Lose();
  }
}

auto Holder::Resign(std::function<void()> done) -> void {
  on_resigned_ = std::move(done);
  Pump();
}

auto Holder::StorelessMs() const -> Millis {
  return append_ && append_->failures > 0
             ? core::SuspendAwareNow() - append_->first_sent_at
             : 0;
}

auto Holder::LogNotes() -> void {
  for (const auto& note : dispatcher_.TakeNotes()) {
    core::LogEvent(note.event, note.fields);
    parts_.metrics.Count("dispatch_decisions", "event",
                         std::string(core::NameOf(note.event)));
  }
}

auto Holder::AnswerAt(std::uint64_t batch,
                      HolderAnswer answer,
                      const AnswerDone& done,
                      const std::string& submitted) -> void {
  if (batch <= dispatcher_.stored()) {
    done(answer);
    return;
  }
  waiters_.emplace(batch, Waiter{done, answer, submitted});
}

auto Holder::Handle(const HolderRequest& request, const AnswerDone& done)
    -> void {
  using Handler =
      auto(Holder::*)(const HolderRequest&, const AnswerDone&)->void;
  struct VerbRow {
    JobVerb verb;
    Handler handler;
  };
  constexpr std::array kVerbs = {VerbRow{JobVerb::kSubmit, &Holder::Submit},
                                 VerbRow{JobVerb::kRead, &Holder::Read},
                                 VerbRow{JobVerb::kCancel, &Holder::Cancel}};
  if (!active_ || on_resigned_) {
    done({ErrorKind::kDraining, {}, true});
    return;
  }
  const auto* const row = std::find_if(
      kVerbs.begin(), kVerbs.end(),
      [&](const VerbRow& candidate) { return candidate.verb == request.verb; });
  (this->*row->handler)(request, done);
  Pump();
}

auto Holder::Submit(const HolderRequest& request, const AnswerDone& done)
    -> void {
  const auto known = dispatcher_.Find(request.job);
  const auto now = core::SuspendAwareNow();
  const auto stalled = append_ && now - append_->first_sent_at > kStalledMs;
  if (!known && (stalled || IsRefused(now))) {
    done({ErrorKind::kLogDown, {}, false});
    return;
  }
  const auto view = dispatcher_.Submit(request.spec, Now());
  AnswerAt(view.batch, {ErrorKind::kNone, view.phase, false}, done,
           request.job);
}

auto Holder::IsRefused(Millis now) const -> bool {
  return append_ && append_->failures > 0 && !append_->in_doubt &&
         now - append_->first_sent_at >= kRefusedMs;
}

auto Holder::WithdrawRefused() -> void {
  std::set<std::string> withdrawn;
  for (const auto& [batch, waiter] : waiters_) {
    if (!waiter.submitted.empty() &&
        dispatcher_.Withdraw(waiter.submitted, Now())) {
      withdrawn.insert(waiter.submitted);
    }
  }
  std::vector<AnswerDone> refused;
  std::erase_if(waiters_, [&](auto& entry) {
    if (!withdrawn.contains(entry.second.submitted)) {
      return false;
    }
    refused.push_back(std::move(entry.second.done));
    return true;
  });
  for (const auto& job : withdrawn) {
    std::erase_if(append_->rows, [&](const dispatch::Row& row) {
      return dispatch::JobBook::IsRowOf(row.key, job);
    });
  }
  if (append_->rows.empty()) {
    append_->rows.push_back(EncodeTerm(term_));
  }
  for (const auto& done : refused) {
    done({ErrorKind::kLogDown, {}, false});
  }
}

auto Holder::MayNotBeKnownYet() const -> bool {
  return core::SuspendAwareNow() - confirmed_at_ > kFreshMs;
}

auto Holder::Read(const HolderRequest& request, const AnswerDone& done)
    -> void {
  const auto view = dispatcher_.Find(request.job);
  if (!view || (!request.account.empty() &&
                dispatcher_.AccountOf(request.job) != request.account)) {
    done({MayNotBeKnownYet() ? ErrorKind::kLogDown : ErrorKind::kGone,
          {},
          false});
    return;
  }
  auto phase = view->phase;
  if (dispatch::IsEnded(phase) && view->batch > dispatcher_.stored()) {
    // The end may be lost with this holder: the job still runs for callers.
    phase = dispatch::JobPhase::kRunning;
  }
  done({ErrorKind::kNone, phase, false});
}

auto Holder::Cancel(const HolderRequest& request, const AnswerDone& done)
    -> void {
  const auto known = dispatcher_.Find(request.job);
  if (!known || (!request.account.empty() &&
                 dispatcher_.AccountOf(request.job) != request.account)) {
    done({MayNotBeKnownYet() ? ErrorKind::kLogDown : ErrorKind::kGone,
          {},
          false});
    return;
  }
  const auto view = dispatcher_.Cancel(request.job, Now());
  AnswerAt(view->batch, {ErrorKind::kNone, view->phase, false}, done);
}

}  // namespace kcm::entry
