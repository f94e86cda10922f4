#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibDispatch/dispatcher.h"
#include "LibDispatch/evacuation_report.h"
#include "LibEntry/claim.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/fleet_table.h"
#include "LibEntry/holder_request.h"
#include "LibEntry/platform_decoders.h"
#include "LibEntry/table_follower.h"
#include "LibNet/event_loop.h"
#include "LibNode/metrics.h"
#include "LibPlatform/keyed_store.h"
#include "LibPlatform/task_port.h"

namespace kcm::entry {

/// What a TermHolder uses; outlives it.
struct TermHolderDependencies {
  net::EventLoop& loop;
  platform::KeyedStore& store;
  /// Sends calls to workers.
  platform::TaskPort& tasks;
  const PlatformDecoders& decoders;
  node::Metrics& metrics;
};

/// Runs the dispatcher in the process that holds the term: stores its batches
/// of rows, sends its calls to workers and answers requests about jobs.
///
/// One append is in flight at a time. It is retried with the same epoch and
/// sequence number until the store answers, so that its outcome is unknown only
/// while the store cannot be reached. While an attempt is not answered, further
/// copies of it are sent on other connections, of which the store takes one: a
/// lost answer costs the interval between two copies instead of a timeout.
class TermHolder : public std::enable_shared_from_this<TermHolder> {
 public:
  using AnswerDone = std::function<void(HolderAnswer)>;

  /// @param on_lost called once, when another process has taken the term.
  TermHolder(TermHolderDependencies dependencies,
             const EntrySettings& settings,
             const ClaimResult& claim,
             std::function<void()> on_lost);

  /// Starts following the fleet table; requires a shared owner.
  auto Start() -> void;

  auto SetSettings(const EntrySettings& settings) -> void;
  auto SetRoutes(const RouteTable& routes) -> void;
  /// Replaces the evacuated data centres, in which no task is started.
  auto SetEvacuated(std::set<std::string> data_centres) -> void;
  /// Sets as of when they are known, on the suspend-aware clock. No task is
  /// started if that is too long ago; see EntrySettings::evacuate_ms.
  auto SetEvacuationsCurrentAsOf(core::Millis time) -> void {
    evacuations_current_as_of_ = time;
  }

  /// Answers a submission or cancellation after its rows are stored, and a read
  /// at once: an end that is not stored yet is reported as running. That a job
  /// does not exist, and any read after a pause of this process, is answered
  /// after an append that was sent later than the request, which a successor
  /// would have fenced. A job that the caller may not see, by CheckJobAccess(),
  /// is answered as if there were none, and a submission of its id is refused.
  auto HandleRequest(const HolderRequest& request, const AnswerDone& done)
      -> void;

  /// Sends the worker calls and the append that are due, and logs decisions.
  auto RunDueWork() -> void;

  /// Ends the term at once because another process holds a newer one; by
  /// granting that, the store has fenced this process.
  auto StepDown() -> void;

  /// Rejects further requests, sends no more worker calls and calls `done`
  /// after all rows are stored, or when the term is lost. While the store is
  /// away, requests are answered from memory or refused.
  auto Resign(std::function<void()> done) -> void;

  /// @return whether Resign() was called and the term is not given up yet.
  [[nodiscard]] auto is_resigning() const -> bool {
    return on_resigned_ != nullptr;
  }

  /// @return whether tasks may be started, as the evacuated data centres are
  ///     known well enough.
  [[nodiscard]] auto MayStart() const -> bool {
    return MayStart(core::SuspendAwareNow());
  }
  /// @return what is left in the evacuated data centres.
  [[nodiscard]] auto ReportEvacuations() const
      -> std::map<std::string, dispatch::EvacuationReport>;

  [[nodiscard]] auto term() const -> const TermRow& { return term_; }
  /// @return for how long the current append has failed; zero if it has not.
  [[nodiscard]] auto StoreOutageMs() const -> core::Millis;
  /// @return whether no job is queued, no row is being stored and no request
  ///     waits for its answer.
  [[nodiscard]] auto IsIdle() const -> bool;
  /// @return the memory that the accepted jobs take, and the most that they
  ///     may.
  [[nodiscard]] auto work_bytes() const -> std::size_t {
    return dispatcher_.work().bytes();
  }
  [[nodiscard]] auto max_work_bytes() const -> std::size_t {
    return max_work_bytes_;
  }
  /// @return the number of jobs in phase kQueued, by queue.
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t> {
    return dispatcher_.PendingByQueue();
  }

 private:
  /// The append that is in flight or being retried.
  struct Append {
    std::vector<dispatch::StateRow> rows;
    /// Number of the batch; zero if the append only renews the term.
    std::uint64_t batch = 0;
    /// No rows of the batch are left for a later append.
    bool is_whole_batch = true;
    core::Millis first_sent_at = 0;
    /// The rows include the term's, as of `first_sent_at`.
    bool has_term_row = false;
    int failures = 0;
    /// Copies that are neither answered nor timed out.
    int copies_in_flight = 0;
    /// A copy got no answer: the store may have accepted the rows.
    bool outcome_unknown = false;
  };
  /// One copy of the append, as sent.
  struct AppendCopy {
    /// Number of the attempt to append that it belongs to.
    std::int64_t attempt = 0;
    std::int64_t sequence = 0;
    core::Millis sent_at = 0;
    /// It is the attempt's first one, whose failure ends the attempt.
    bool is_first = true;
  };
  struct Waiter {
    AnswerDone done;
    HolderAnswer answer;
    /// Id of the submitted job; empty for other requests.
    std::string submitted;
  };

  /// A request whose answer awaits proof that no successor has one of its own.
  struct UnprovenRequest {
    HolderRequest request;
    AnswerDone done;
    /// The first append that is sent after the request arrived.
    std::int64_t append = 0;
  };

  static auto ReadClocks() -> dispatch::ClockReading;
  /// Calls RunDueWork() after the handlers that are due now, so that the
  /// results that arrived together share a pass over all workers.
  auto RequestPass() -> void;
  auto StartNextAppend(core::Millis now) -> void;
  /// @return whether the term's row is to be stored again, so that a successor
  ///     knows how long this holder may grant leases.
  [[nodiscard]] auto IsTermRowDue(core::Millis now) const -> bool;
  /// @return the term's row as of now.
  [[nodiscard]] auto TermRowNow() -> dispatch::StateRow;
  /// Begins an attempt to append.
  auto SendAppend() -> void;
  auto SendCopy(bool is_first) -> void;
  /// Sends further copies until the attempt ends.
  auto ScheduleCopies(std::int64_t attempt) -> void;
  [[nodiscard]] auto IsAttemptOpen(std::int64_t attempt) const -> bool {
    return active_ && append_ && attempts_ == attempt &&
           ended_attempt_ < attempt;
  }
  auto OnCopyEnded(const AppendCopy& copy, platform::StoreAppendOutcome end)
      -> void;
  /// Handles the end of an attempt.
  auto OnAppended(platform::StoreAppendOutcome end, std::int64_t attempt)
      -> void;
  /// Notices that this process was paused, as its last event is long ago.
  auto CheckPause() -> void;
  /// @return whether the evacuated data centres are known well enough to start
  ///     tasks.
  [[nodiscard]] auto MayStart(core::Millis now) const -> bool;
  auto SendWorkerCalls() -> void;
  auto LogDecisions() -> void;
  auto LoseTerm() -> void;
  auto OnFleetRows(const RowBatch& batch) -> void;
  auto AnswerOnceStored(std::uint64_t batch,
                        HolderAnswer answer,
                        const AnswerDone& done,
                        const std::string& submitted = "") -> void;
  /// Refuses the submissions whose append the store refused.
  auto WithdrawRefusedJobs() -> void;
  /// Refuses the submissions that are in no append yet.
  auto WithdrawUnsentJobs() -> void;
  /// Refuses the submissions of later batches than the given one, none of whose
  /// rows may be stored.
  /// @return the jobs withdrawn.
  auto WithdrawJobs(std::uint64_t after_batch) -> std::set<std::string>;
  /// @return whether new jobs would be stored too late, behind this append.
  [[nodiscard]] auto IsAppendStalled(core::Millis now) const -> bool;
  [[nodiscard]] auto IsAppendRefused(core::Millis now) const -> bool;
  auto Submit(const HolderRequest& request, const AnswerDone& done) -> void;
  /// @return why a new job cannot be taken, or kNone.
  [[nodiscard]] auto FindObstacle(const dispatch::JobSpec& spec) const
      -> core::ErrorKind;
  /// Logs at times that jobs are refused for the memory that others take.
  auto ReportFullMemory(const dispatch::JobSpec& spec) -> void;
  auto Read(const HolderRequest& request, const AnswerDone& done) -> void;
  auto Cancel(const HolderRequest& request, const AnswerDone& done) -> void;
  /// Answers once a later append is stored; at once if none was for long.
  auto AnswerOnceProven(const HolderRequest& request, const AnswerDone& done)
      -> void;
  auto AnswerNow(const UnprovenRequest& unproven) -> void;
  /// Answers the requests that the newest stored append proves.
  auto AnswerProvenRequests() -> void;
  /// Answers reads of known jobs, as the store is away for the moment, and all
  /// others too once it has been away for long.
  auto AnswerWithoutProof() -> void;
  /// Answers all requests that await proof.
  auto AnswerUnprovenRequests(const HolderAnswer& answer) -> void;
  /// @return the answer to a request about a job by the present state.
  [[nodiscard]] auto AnswerFromState(const HolderRequest& request) const
      -> HolderAnswer;
  /// @return whether the caller may see the job; nothing if it is unknown.
  [[nodiscard]] auto FindAccess(const HolderRequest& request) const
      -> std::optional<JobAccess>;
  /// @return whether the job is known and the caller may see it.
  [[nodiscard]] auto IsVisible(const HolderRequest& request) const -> bool {
    return FindAccess(request) == JobAccess::kAllowed;
  }
  /// Logs why the caller may not see the job, if it is known.
  auto LogHiddenJob(const HolderRequest& request) const -> void;
  [[nodiscard]] auto IsConfirmationStale() const -> bool;
  /// @return whether the store has not answered for more than a moment, counted
  ///     from the last pause of this process.
  [[nodiscard]] auto IsStoreAway() const -> bool;

  TermHolderDependencies dependencies_;
  TermRow term_;
  std::function<void()> on_lost_;
  dispatch::Dispatcher dispatcher_;
  FleetTable fleet_;
  std::unique_ptr<TableFollower> fleet_follower_;
  std::int64_t sequence_;
  std::optional<Append> append_;
  /// The newest batch of which a part, and not the whole, was stored.
  std::uint64_t partly_stored_batch_ = 0;
  /// Attempts to append that were sent, the newest that ended, and the newest
  /// that was sent before a pause of this process.
  std::int64_t attempts_ = 0;
  std::int64_t ended_attempt_ = 0;
  std::int64_t attempt_before_pause_ = 0;
  core::Millis last_event_at_ = core::SuspendAwareNow();
  /// Longest time that the store took for an append lately.
  core::Millis usual_append_ms_ = 0;
  /// When the last stored append was first sent.
  core::Millis confirmed_at_;
  /// When the last stored row of the term was written. Leases are granted for
  /// a limited time after it.
  core::Millis term_row_at_;
  /// See EntrySettings::evacuate_ms.
  core::Millis evacuate_ms_;
  core::Millis evacuations_current_as_of_ = 0;
  /// See EntrySettings::memory_mb and DispatchSettings::max_row_bytes.
  std::size_t max_work_bytes_;
  std::size_t max_row_bytes_;
  /// Calls that start or stop a run, which are in flight, and the most of them.
  std::size_t run_calls_ = 0;
  std::size_t max_run_calls_;
  std::int64_t jobs_over_limit_ = 0;
  core::Millis next_limit_report_at_ = 0;
  bool renew_now_ = false;
  bool pass_requested_ = false;
  core::Millis last_pass_at_ = 0;
  bool active_ = true;
  std::multimap<std::uint64_t, Waiter> waiters_;
  /// In the order of their arrival, and so of their appends.
  std::deque<UnprovenRequest> unproven_requests_;
  std::function<void()> on_resigned_;
};

}  // namespace kcm::entry
