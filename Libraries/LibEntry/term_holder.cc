#include "LibEntry/term_holder.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "LibCore/event.h"
#include "LibDispatch/accepted_work.h"
#include "LibDispatch/job_table.h"

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

/// Longest time between two appends, which show that the holder is alive: less
/// than half of ElectionSettings::isolated_watch_ms.
constexpr Millis kTermRenewalMs = 800;
/// A holder whose row was not stored for this long renews no leases, so that
/// its successor can compute when the last of them expires.
constexpr Millis kMaxUnconfirmedMs = 4000;
/// New jobs are refused while an append takes longer: they could not be stored
/// in time.
constexpr Millis kAppendStalledMs = 1000;
/// An append that the store has refused for this long, a quarter of our users'
/// shortest objective, is too late for its callers.
constexpr Millis kAppendRefusedMs = 120;
/// A holder whose appends have not been stored for this long cannot tell in
/// time that a job does not exist.
constexpr Millis kConfirmationFreshMs = 2000;
/// A holder whose last stored append was sent longer ago was paused, or the
/// store is slow: a successor may have gone on with the jobs.
constexpr Millis kMaxReadAgeMs = kTermRenewalMs + 400;
/// Failures of an append after which the store counts as away.
constexpr int kAwayFailures = 2;
/// A process without an event for this long, many ticks, was paused.
constexpr Millis kPauseMs = 600;
/// Pause between reads of the workers' listings. Workers send heartbeats about
/// every second, and a draining worker still accepts work for seconds.
constexpr Millis kFleetReadPauseMs = 400;
constexpr Millis kAppendRetryMs = 40;
/// An append without an answer is sent again on another connection after this
/// time, a quarter of our users' shortest objective.
constexpr Millis kCopyIntervalMs = 120;
/// Most copies of one that has not failed yet: the store may only be slow.
constexpr int kMaxEarlyCopies = 3;
/// The same once an attempt has failed. The path may return at any time, but
/// copies that were sent before that are never answered.
constexpr Millis kCopyIntervalInOutageMs = 250;
constexpr Millis kCopyTimeoutMs = 1200;
/// An append that takes less than so many times the usual time is neither sent
/// again nor taken for failed: copies would make a slow store slower.
constexpr Millis kUsualTimes = 3;
/// A store that takes longer counts as away at times, or an outage after a slow
/// phase would be noticed too late.
constexpr Millis kMaxUsualAppendMs = 600;
/// Least time between two passes that results and requests ask for. A task
/// takes three from its acceptance to its start, which together are a fraction
/// of the round trips between.
constexpr Millis kPassIntervalMs = 5;
/// A start or stop takes a round trip between regions; after a lost answer the
/// call is retried this much later.
constexpr Millis kCallTimeoutMs = 600;
constexpr Millis kPollTimeoutMs = 800;
/// A start that is sent this long before it would be too late for an evacuated
/// data centre has reached its worker by then or is given up.
constexpr Millis kStartMarginMs = kCallTimeoutMs + 400;
/// Jobs that a report on an evacuated data centre names at most: what an
/// operator reads at a glance.
constexpr std::size_t kMaxReportedJobs = 50;
/// Time after which an attempt to append has failed, by the number of failures
/// so far. Its copies may still be answered.
constexpr std::array<Millis, 4> kAppendTimeoutsMs = {400, 600, 1200, 2500};
/// A worker's clock may be slow by this factor; see WorkerClock.
constexpr double kMaxClockDriftFactor = 1.03;
constexpr Millis kLeaseExpiryMarginMs = 500;

/// Share of the VM's memory for accepted jobs. A successor has to read the
/// same, beside what clients' connections take.
constexpr std::size_t kWorkShare = 4;
constexpr std::int64_t kUnknownMemoryMb = 512;
constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
constexpr Millis kLimitReportPeriodMs = 1000;

auto MaxWorkBytes(std::int64_t memory_mb) -> std::size_t {
  return static_cast<std::size_t>(memory_mb > 0 ? memory_mb
                                                : kUnknownMemoryMb) *
         kBytesPerMb / kWorkShare;
}

/// Each call takes a connection; as many are for polls and for the store.
auto MaxRunCalls(std::int64_t max_descriptors) -> std::size_t {
  constexpr std::int64_t kUnknownDescriptors = 1024;
  constexpr std::int64_t kShare = 8;
  return static_cast<std::size_t>(
      (max_descriptors > 0 ? max_descriptors : kUnknownDescriptors) / kShare +
      1);
}

auto DispatchSettingsOf(const EntrySettings& settings)
    -> dispatch::DispatchSettings {
  // A run with its calls and rows, an eighth of the memory for all of them.
  constexpr std::size_t kBytesPerRun = 2048;
  auto dispatch = settings.dispatch;
  dispatch.max_small_runs = static_cast<std::int64_t>(
      MaxWorkBytes(settings.memory_mb) / 2 / kBytesPerRun);
  return dispatch;
}

auto LeasesOfFormerHolders(const EntrySettings& settings,
                           const ClaimResult& claim) -> dispatch::FormerLeases {
  const auto lease = static_cast<double>(settings.dispatch.max_lease_ms);
  const auto now = core::SuspendAwareNow();
  const auto end = now + kMaxUnconfirmedMs +
                   static_cast<Millis>(lease * kMaxClockDriftFactor) +
                   kLeaseExpiryMarginMs;
  return {end, now, claim.term.lease_rows_since, claim.former_witnesses};
}

}  // namespace

TermHolder::TermHolder(TermHolderDependencies dependencies,
                       const EntrySettings& settings,
                       const ClaimResult& claim,
                       std::function<void()> on_lost)
    : dependencies_(dependencies),
      term_(claim.term),
      on_lost_(std::move(on_lost)),
      dispatcher_(DispatchSettingsOf(settings)),
      fleet_(dependencies.decoders),
      sequence_(claim.sequence),
      confirmed_at_(claim.confirmed_at),
      term_row_at_(claim.confirmed_at),
      evacuate_ms_(settings.evacuate_ms),
      max_work_bytes_(MaxWorkBytes(settings.memory_mb)),
      max_row_bytes_(settings.dispatch.max_row_bytes),
      max_run_calls_(MaxRunCalls(settings.max_descriptors)) {
  dispatcher_.Recover(claim.rows, LeasesOfFormerHolders(settings, claim));
}

auto TermHolder::Start() -> void {
  fleet_follower_ = std::make_unique<TableFollower>(
      dependencies_.loop, dependencies_.store,
      FollowSettings{platform::Table::kFleet, 0, kFleetReadPauseMs},
      [this](const RowBatch& batch) { OnFleetRows(batch); });
}

auto TermHolder::ReadClocks() -> dispatch::ClockReading {
  return {core::SuspendAwareNow(), core::WallNow()};
}

auto TermHolder::SetSettings(const EntrySettings& settings) -> void {
  dispatcher_.set_settings(DispatchSettingsOf(settings));
  max_work_bytes_ = MaxWorkBytes(settings.memory_mb);
  max_row_bytes_ = settings.dispatch.max_row_bytes;
  max_run_calls_ = MaxRunCalls(settings.max_descriptors);
  evacuate_ms_ = settings.evacuate_ms;
}

auto TermHolder::SetRoutes(const RouteTable& routes) -> void {
  dispatcher_.SetQueues(routes.QueuePolicies());
  dispatcher_.SetGuarantees(routes.guarantees);
}

auto TermHolder::SetEvacuated(std::set<std::string> data_centres) -> void {
  dispatcher_.SetEvacuated(std::move(data_centres), ReadClocks());
  RequestPass();
}

auto TermHolder::OnFleetRows(const RowBatch& batch) -> void {
  if (!fleet_.Apply(batch, core::SuspendAwareNow())) {
    return;
  }
  for (const auto& removal : fleet_.TakeRemovals()) {
    dispatcher_.ObserveListingRemoval(removal.worker, removal.max_silence_ms);
  }
  dispatcher_.SetFleet(fleet_.Workers(), ReadClocks());
  RequestPass();
}

auto TermHolder::RequestPass() -> void {
  if (std::exchange(pass_requested_, true)) {
    return;
  }
  const auto now = core::SuspendAwareNow();
  dependencies_.loop.After(
      std::clamp<Millis>(last_pass_at_ + kPassIntervalMs - now, 0,
                         kPassIntervalMs),
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && self->pass_requested_) {
          self->RunDueWork();
        }
      });
}

auto TermHolder::RunDueWork() -> void {
  if (!active_) {
    return;
  }
  CheckPause();
  const auto now = core::SuspendAwareNow();
  pass_requested_ = false;
  last_pass_at_ = now;
  if (!on_resigned_) {
    SendWorkerCalls();
  }
  StartNextAppend(now);
  LogDecisions();
  if (on_resigned_ && !append_) {
    active_ = false;
    AnswerUnprovenRequests({ErrorKind::kDraining, {}, true});
    std::exchange(on_resigned_, nullptr)();
  }
}

auto TermHolder::SendWorkerCalls() -> void {
  const auto now = ReadClocks();
  const dispatch::TermPermit permit{
      now.steady - term_row_at_ < kMaxUnconfirmedMs, confirmed_at_,
      MayStart(now.steady),
      evacuate_ms_ == 0
          ? std::nullopt
          : std::optional(evacuations_current_as_of_ + evacuate_ms_),
      max_run_calls_ - std::min(run_calls_, max_run_calls_)};
  for (auto& call : dispatcher_.TakeCalls(now, permit)) {
    const auto is_about_run = dispatch::IsAboutRun(call);
    run_calls_ += is_about_run ? 1 : 0;
    dependencies_.tasks.Send(
        call, term_.epoch, is_about_run ? kCallTimeoutMs : kPollTimeoutMs,
        [weak = weak_from_this(), call,
         is_about_run](const dispatch::CallResult& result) {
          const auto self = weak.lock();
          if (self == nullptr) {
            return;
          }
          self->run_calls_ -= is_about_run ? 1 : 0;
          if (!self->active_ || self->on_resigned_) {
            return;
          }
          const auto may_have_started =
              result.end == dispatch::CallEnd::kUnknown &&
              std::holds_alternative<dispatch::StartCall>(call.command);
          if (result.end == dispatch::CallEnd::kFenced || may_have_started) {
            // Only the store decides whether the term is lost. A start is
            // repeated only if it is not.
            self->renew_now_ = true;
          }
          self->dispatcher_.OnResult(call, result, ReadClocks());
          self->RequestPass();
        });
  }
}

auto TermHolder::MayStart(Millis now) const -> bool {
  // The steady clock of a machine that was just switched on is close to zero,
  // which is the time of no read.
  return evacuate_ms_ == 0 ||
         (evacuations_current_as_of_ > 0 &&
          now - evacuations_current_as_of_ <
              evacuate_ms_ - std::min(kStartMarginMs, evacuate_ms_ / 2));
}

auto TermHolder::ReportEvacuations() const
    -> std::map<std::string, dispatch::EvacuationReport> {
  return dispatch::ReportEvacuations(dispatcher_, kMaxReportedJobs);
}

auto TermHolder::StartNextAppend(Millis now) -> void {
  if (append_) {
    return;
  }
  const auto has_term_row = renew_now_ || IsTermRowDue(now);
  auto batch = dispatcher_.TakeBatch(has_term_row);
  if (!batch && !has_term_row) {
    return;
  }
  append_ = Append{};
  append_->first_sent_at = now;
  if (batch) {
    append_->rows = std::move(batch->rows);
    append_->batch = batch->number;
    append_->is_whole_batch = batch->is_whole;
  }
  if (has_term_row) {
    append_->rows.push_back(TermRowNow());
    append_->has_term_row = true;
  }
  renew_now_ = false;
  ++sequence_;
  SendAppend();
}

auto TermHolder::IsTermRowDue(Millis now) const -> bool {
  // The row of the claim has no witnesses, as no worker was known yet.
  const auto has_first_witnesses =
      term_.witnesses.empty() &&
      !dispatcher_.FindWitnesses(ReadClocks()).empty();
  return now - term_row_at_ >= kTermRenewalMs || has_first_witnesses;
}

auto TermHolder::TermRowNow() -> dispatch::StateRow {
  term_.witnesses = dispatcher_.FindWitnesses(ReadClocks());
  return EncodeTerm(term_);
}

auto TermHolder::SendAppend() -> void {
  CheckPause();
  const auto failures =
      std::min<std::size_t>(static_cast<std::size_t>(append_->failures),
                            kAppendTimeoutsMs.size() - 1);
  const auto attempt = ++attempts_;
  SendCopy(true);
  dependencies_.loop.After(
      std::max(kAppendTimeoutsMs[failures], kUsualTimes * usual_append_ms_),
      [weak = weak_from_this(), attempt] {
        const auto self = weak.lock();
        if (self != nullptr && self->IsAttemptOpen(attempt)) {
          self->OnAppended(platform::StoreAppendOutcome::kUnknown, attempt);
        }
      });
  ScheduleCopies(attempt);
}

auto TermHolder::SendCopy(bool is_first) -> void {
  ++append_->copies_in_flight;
  const AppendCopy copy{attempts_, sequence_, core::SuspendAwareNow(),
                        is_first};
  dependencies_.store.Append(
      append_->rows, {kWriterName, term_.epoch, sequence_}, std::nullopt,
      std::max(kCopyTimeoutMs, kUsualTimes * usual_append_ms_),
      [weak = weak_from_this(), copy](platform::StoreAppendOutcome end) {
        if (const auto self = weak.lock()) {
          self->OnCopyEnded(copy, end);
        }
      });
}

auto TermHolder::ScheduleCopies(std::int64_t attempt) -> void {
  const auto is_outage = append_->failures > 0;
  if (!is_outage && append_->copies_in_flight >= kMaxEarlyCopies) {
    return;
  }
  const auto interval = is_outage ? kCopyIntervalInOutageMs : kCopyIntervalMs;
  dependencies_.loop.After(
      std::max(interval, kUsualTimes * usual_append_ms_),
      [weak = weak_from_this(), attempt] {
        const auto self = weak.lock();
        if (self != nullptr && self->IsAttemptOpen(attempt)) {
          self->SendCopy(false);
          self->ScheduleCopies(attempt);
        }
      });
}

auto TermHolder::OnCopyEnded(const AppendCopy& copy,
                             platform::StoreAppendOutcome end) -> void {
  // The append may have ended by another copy.
  if (!active_ || !append_ || copy.sequence != sequence_) {
    return;
  }
  CheckPause();
  --append_->copies_in_flight;
  const auto is_failure = end == platform::StoreAppendOutcome::kRefused ||
                          end == platform::StoreAppendOutcome::kUnknown;
  if (is_failure && (!copy.is_first || !IsAttemptOpen(copy.attempt))) {
    append_->outcome_unknown = append_->outcome_unknown ||
                               end == platform::StoreAppendOutcome::kUnknown;
    return;
  }
  // A pause of this process is no time of the store.
  if (end == platform::StoreAppendOutcome::kAppended &&
      copy.attempt > attempt_before_pause_) {
    usual_append_ms_ = std::min(kMaxUsualAppendMs,
                                std::max(core::SuspendAwareNow() - copy.sent_at,
                                         usual_append_ms_ * 7 / 8));
  }
  OnAppended(end, copy.attempt);
}

auto TermHolder::OnAppended(platform::StoreAppendOutcome end,
                            std::int64_t attempt) -> void {
  CheckPause();
  ended_attempt_ = std::max(ended_attempt_, attempt);
  const auto now = core::SuspendAwareNow();
  switch (end) {
    case platform::StoreAppendOutcome::kAppended:
      break;
    case platform::StoreAppendOutcome::kFenced:
    case platform::StoreAppendOutcome::kOffsetMismatch:
      LoseTerm();
      return;
    case platform::StoreAppendOutcome::kRefused:
    case platform::StoreAppendOutcome::kUnknown:
      dependencies_.metrics.Count("store_append_retries");
      append_->outcome_unknown = append_->outcome_unknown ||
                                 end == platform::StoreAppendOutcome::kUnknown;
      if (IsAppendRefused(now)) {
        WithdrawRefusedJobs();
      }
      if (IsAppendStalled(now)) {
        WithdrawUnsentJobs();
      }
      if (++append_->failures == 1) {
        core::LogEvent(
            core::Event::kLogUnreachable,
            {{"epoch", term_.epoch},
             {"batch", append_->batch},
             {"unknown", end == platform::StoreAppendOutcome::kUnknown}});
      }
      AnswerWithoutProof();
      dependencies_.loop.After(kAppendRetryMs, [weak = weak_from_this()] {
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
  dependencies_.metrics.Observe("store_append", now - append_->first_sent_at);
  confirmed_at_ = append_->first_sent_at;
  if (append_->has_term_row) {
    term_row_at_ = append_->first_sent_at;
  }
  const auto batch = append_->batch;
  const auto is_whole_batch = append_->is_whole_batch;
  append_.reset();
  AnswerProvenRequests();
  if (batch > 0 && !is_whole_batch) {
    partly_stored_batch_ = batch;
  } else if (batch > 0) {
    dispatcher_.MarkStored(batch);
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
  RequestPass();
}

auto TermHolder::LoseTerm() -> void {
  active_ = false;
  core::LogEvent(core::Event::kTermLost, {{"epoch", term_.epoch}});
  for (auto& [batch, waiter] : std::exchange(waiters_, {})) {
    waiter.done({ErrorKind::kOutcomeUnknown, {}, true});
  }
  AnswerUnprovenRequests({ErrorKind::kNoEndpoint, {}, true});
  if (on_resigned_) {
    std::exchange(on_resigned_, nullptr)();
  }
  on_lost_();
}

auto TermHolder::StepDown() -> void {
  if (active_) {
    LoseTerm();
  }
}

auto TermHolder::Resign(std::function<void()> done) -> void {
  on_resigned_ = std::move(done);
  RunDueWork();
}

auto TermHolder::StoreOutageMs() const -> Millis {
  return append_ && append_->failures > 0
             ? core::SuspendAwareNow() - append_->first_sent_at
             : 0;
}

auto TermHolder::IsIdle() const -> bool {
  const auto pending = dispatcher_.PendingByQueue();
  return waiters_.empty() && !append_ &&
         std::all_of(pending.begin(), pending.end(),
                     [](const auto& entry) { return entry.second == 0; });
}

auto TermHolder::LogDecisions() -> void {
  for (const auto& decision : dispatcher_.TakeDecisions()) {
    core::LogEvent(decision.event, decision.fields);
    dependencies_.metrics.Count("dispatch_decisions", "event",
                                std::string(core::NameOf(decision.event)));
    if (const auto lost = decision.fields.value("lost_core_s", 0.0); lost > 0) {
      dependencies_.metrics.Count(
          "work_lost_core_seconds", "cause",
          decision.fields.value("cause", decision.fields.value("how", "")),
          lost);
    }
  }
}

auto TermHolder::AnswerOnceStored(std::uint64_t batch,
                                  HolderAnswer answer,
                                  const AnswerDone& done,
                                  const std::string& submitted) -> void {
  if (batch <= dispatcher_.stored_batch()) {
    done(answer);
    return;
  }
  waiters_.emplace(batch, Waiter{done, answer, submitted});
}

auto TermHolder::HandleRequest(const HolderRequest& request,
                               const AnswerDone& done) -> void {
  using Handler =
      auto(TermHolder::*)(const HolderRequest&, const AnswerDone&)->void;
  struct VerbRow {
    JobVerb verb;
    Handler handler;
  };
  constexpr std::array kVerbs = {
      VerbRow{JobVerb::kSubmit, &TermHolder::Submit},
      VerbRow{JobVerb::kRead, &TermHolder::Read},
      VerbRow{JobVerb::kCancel, &TermHolder::Cancel}};
  // Without the store no other process can take the term, so the callers have
  // nobody else to ask.
  if (!active_ || (on_resigned_ && !IsStoreAway())) {
    done({ErrorKind::kDraining, {}, true});
    return;
  }
  CheckPause();
  const auto* const row = std::find_if(
      kVerbs.begin(), kVerbs.end(),
      [&](const VerbRow& candidate) { return candidate.verb == request.verb; });
  (this->*row->handler)(request, done);
  if (request.verb != JobVerb::kRead) {
    RequestPass();
  }
}

auto TermHolder::Submit(const HolderRequest& request, const AnswerDone& done)
    -> void {
  const auto known = dispatcher_.FindJob(request.job);
  const auto now = core::SuspendAwareNow();
  if (!known &&
      (IsAppendStalled(now) || IsAppendRefused(now) || on_resigned_)) {
    done({ErrorKind::kLogDown, {}, false});
    return;
  }
  if (known && !IsVisible(request)) {
    LogHiddenJob(request);
    AnswerOnceStored(known->batch, {ErrorKind::kConflict, {}, false}, done);
    return;
  }
  if (!known) {
    if (const auto obstacle = FindObstacle(request.spec);
        obstacle != ErrorKind::kNone) {
      if (obstacle == ErrorKind::kOverLimit) {
        ReportFullMemory(request.spec);
      }
      done({obstacle, {}, false});
      return;
    }
  }
  const auto view = dispatcher_.Submit(request.spec, ReadClocks());
  AnswerOnceStored(view.batch, {ErrorKind::kNone, view.phase, false}, done,
                   request.job);
}

auto TermHolder::FindObstacle(const dispatch::JobSpec& spec) const
    -> ErrorKind {
  if (!dispatch::JobTable::FitsIntoRow(spec, max_row_bytes_)) {
    return ErrorKind::kBadInput;
  }
  return dispatcher_.work().HasRoomFor(spec.account, dispatch::BytesOfJob(spec),
                                       max_work_bytes_)
             ? ErrorKind::kNone
             : ErrorKind::kOverLimit;
}

auto TermHolder::ReportFullMemory(const dispatch::JobSpec& spec) -> void {
  ++jobs_over_limit_;
  const auto now = core::SuspendAwareNow();
  if (now < next_limit_report_at_) {
    return;
  }
  next_limit_report_at_ = now + kLimitReportPeriodMs;
  core::LogEvent(core::Event::kJobsOverLimit,
                 {{"count", std::exchange(jobs_over_limit_, 0)},
                  {"last_account", spec.account},
                  {"account_bytes", dispatcher_.work().BytesOf(spec.account)},
                  {"job_bytes", dispatch::BytesOfJob(spec)},
                  {"bytes", dispatcher_.work().bytes()},
                  {"max_bytes", max_work_bytes_}});
}

auto TermHolder::IsAppendStalled(Millis now) const -> bool {
  return append_ && now - append_->first_sent_at > kAppendStalledMs;
}

auto TermHolder::IsAppendRefused(Millis now) const -> bool {
  return append_ && append_->failures > 0 && !append_->outcome_unknown &&
         append_->copies_in_flight == 0 &&
         now - append_->first_sent_at >= kAppendRefusedMs;
}

auto TermHolder::WithdrawJobs(std::uint64_t after_batch)
    -> std::set<std::string> {
  std::set<std::string> withdrawn;
  for (auto waiter = waiters_.upper_bound(after_batch);
       waiter != waiters_.end(); ++waiter) {
    const auto& job = waiter->second.submitted;
    if (!job.empty() && dispatcher_.Withdraw(job, ReadClocks())) {
      withdrawn.insert(job);
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
  for (const auto& done : refused) {
    done({ErrorKind::kLogDown, {}, false});
  }
  return withdrawn;
}

auto TermHolder::WithdrawUnsentJobs() -> void {
  // An append that only renews the term has no batch, and all rows that are not
  // stored wait behind it.
  WithdrawJobs(std::max(
      {append_->batch, partly_stored_batch_, dispatcher_.stored_batch()}));
}

auto TermHolder::WithdrawRefusedJobs() -> void {
  // Of a batch in parts, rows of any job may be stored already.
  const auto withdrawn =
      WithdrawJobs(std::max(partly_stored_batch_, dispatcher_.stored_batch()));
  for (const auto& job : withdrawn) {
    std::erase_if(append_->rows, [&](const dispatch::StateRow& row) {
      return dispatch::JobTable::IsRowOf(row.key, job);
    });
  }
  if (append_->rows.empty()) {
    append_->rows.push_back(TermRowNow());
  }
}

auto TermHolder::FindAccess(const HolderRequest& request) const
    -> std::optional<JobAccess> {
  const auto owner = dispatcher_.OwnerOf(request.job);
  if (!owner) {
    return std::nullopt;
  }
  return CheckJobAccess(*owner, request.caller);
}

auto TermHolder::LogHiddenJob(const HolderRequest& request) const -> void {
  const auto access = FindAccess(request);
  if (!access || *access == JobAccess::kAllowed) {
    return;
  }
  const auto owner = dispatcher_.OwnerOf(request.job);
  core::LogEvent(core::Event::kJobHidden,
                 {{"job", request.job},
                  {"verb", core::NameOf(request.verb)},
                  {"why", core::NameOf(*access)},
                  {"job_queue", owner->queue},
                  {"job_account", owner->account},
                  {"queue", request.caller.queue},
                  {"account", request.caller.account},
                  {"public", request.caller.is_public}});
}

auto TermHolder::AnswerFromState(const HolderRequest& request) const
    -> HolderAnswer {
  if (!IsVisible(request)) {
    LogHiddenJob(request);
    return {ErrorKind::kGone, {}, false};
  }
  const auto view = dispatcher_.FindJob(request.job);
  const auto is_unstored_end = dispatch::IsEnded(view->phase) &&
                               view->batch > dispatcher_.stored_batch();
  if (!is_unstored_end) {
    return {ErrorKind::kNone, view->phase, false};
  }
  // The end is lost if this holder fails now, so it is not reported yet.
  return {ErrorKind::kNone,
          view->has_begun ? dispatch::JobPhase::kRunning
                          : dispatch::JobPhase::kQueued,
          false};
}

auto TermHolder::AnswerOnceProven(const HolderRequest& request,
                                  const AnswerDone& done) -> void {
  if (!IsVisible(request) && IsConfirmationStale()) {
    done({ErrorKind::kLogDown, {}, false});
    return;
  }
  unproven_requests_.push_back({request, done, sequence_ + 1});
  renew_now_ = true;
  RequestPass();
}

auto TermHolder::AnswerNow(const UnprovenRequest& unproven) -> void {
  if (unproven.request.verb == JobVerb::kCancel &&
      IsVisible(unproven.request)) {
    // It was submitted in the meantime.
    Cancel(unproven.request, unproven.done);
    return;
  }
  unproven.done(AnswerFromState(unproven.request));
}

auto TermHolder::AnswerProvenRequests() -> void {
  while (!unproven_requests_.empty() &&
         unproven_requests_.front().append <= sequence_) {
    const auto proven = std::move(unproven_requests_.front());
    unproven_requests_.pop_front();
    AnswerNow(proven);
  }
}

auto TermHolder::IsStoreAway() const -> bool {
  return append_ && append_->failures >= kAwayFailures &&
         ended_attempt_ > attempt_before_pause_;
}

auto TermHolder::CheckPause() -> void {
  const auto now = core::SuspendAwareNow();
  if (now - std::exchange(last_event_at_, now) > kPauseMs) {
    attempt_before_pause_ = attempts_;
  }
}

auto TermHolder::AnswerWithoutProof() -> void {
  const auto is_stale = IsConfirmationStale();
  for (auto& unproven : std::exchange(unproven_requests_, {})) {
    if (IsVisible(unproven.request) && IsStoreAway()) {
      AnswerNow(unproven);
    } else if (!IsVisible(unproven.request) && is_stale) {
      unproven.done({ErrorKind::kLogDown, {}, false});
    } else {
      unproven_requests_.push_back(std::move(unproven));
    }
  }
}

auto TermHolder::AnswerUnprovenRequests(const HolderAnswer& answer) -> void {
  for (const auto& unproven : std::exchange(unproven_requests_, {})) {
    unproven.done(answer);
  }
}

auto TermHolder::IsConfirmationStale() const -> bool {
  return core::SuspendAwareNow() - confirmed_at_ > kConfirmationFreshMs;
}

auto TermHolder::Read(const HolderRequest& request, const AnswerDone& done)
    -> void {
  const auto is_recent =
      core::SuspendAwareNow() - confirmed_at_ <= kMaxReadAgeMs;
  if (IsVisible(request) && (is_recent || IsStoreAway())) {
    done(AnswerFromState(request));
    return;
  }
  AnswerOnceProven(request, done);
}

auto TermHolder::Cancel(const HolderRequest& request, const AnswerDone& done)
    -> void {
  if (!IsVisible(request)) {
    AnswerOnceProven(request, done);
    return;
  }
  const auto view = dispatcher_.Cancel(request.job, ReadClocks());
  AnswerOnceStored(view->batch, {ErrorKind::kNone, view->phase, false}, done);
}

}  // namespace kcm::entry
