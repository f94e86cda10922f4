#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/clock_witness.h"
#include "LibDispatch/dispatch_settings.h"
#include "LibDispatch/former_lease_bound.h"
#include "LibDispatch/run.h"
#include "LibDispatch/term_permit.h"
#include "LibDispatch/worker_call.h"
#include "LibDispatch/worker_clock.h"
#include "LibDispatch/worker_info.h"

namespace kcm::dispatch {

/// A run that no longer exists, and how it ended.
struct EndedRun {
  Run run;
  RunEnd how = RunEnd::kLost;
  /// Another life of the worker has shown that it crashed.
  bool worker_restarted = false;
};

/// A lease row that is to be written or deleted; see LeaseRow.
struct LeaseRowChange {
  /// The bound on the worker's leases; nothing to delete the row.
  std::optional<core::Millis> remaining_ms;
};

/// The term holder's state of one worker and the calls to make to it.
///
/// Does no I/O: TakeCalls() returns calls, and the On...() functions handle
/// their results. A run is considered gone only if the worker reported its end,
/// if a poll sent after a confirmed start or stop lists all ends and not the
/// run, or if its lease has expired on the slowest clock allowed.
class WorkerSession {
 public:
  /// @param former_leases when all leases of former holders have expired.
  WorkerSession(WorkerInfo info,
                const DispatchSettings& settings,
                std::shared_ptr<const FormerLeaseBound> former_leases);

  /// Updates the worker's description.
  /// @return runs that were lost with the previous incarnation.
  [[nodiscard]] auto UpdateInfo(const WorkerInfo& info, core::Millis now)
      -> std::vector<EndedRun>;
  /// Takes over that the worker answers as a new incarnation, which the listing
  /// will show later. Nothing is placed on it before that.
  /// @return runs that were lost with the previous incarnation.
  [[nodiscard]] auto ObserveRebirth(std::int64_t incarnation, core::Millis now)
      -> std::vector<EndedRun>;
  /// Records that another worker has the address of this one, whose life is
  /// over. Nothing is sent to it any more.
  /// @return the runs that were lost with it.
  [[nodiscard]] auto ObserveReplacement() -> std::vector<EndedRun>;
  /// Sets whether the platform currently lists the worker.
  auto SetListed(bool listed) -> void { listed_ = listed; }
  /// Records that the platform deleted the worker's listing too soon after a
  /// heartbeat for it to have expired: the worker has left.
  auto ObserveDeparture() -> void { has_departed_ = true; }

  /// Adds a run that a former holder or the current planning pass placed.
  auto AddRun(Run run) -> void;

  /// Requests the stop of a run.
  /// @return the run, if no start was sent and it is removed immediately.
  [[nodiscard]] auto StopRun(const TaskId& task,
                             StopCause cause,
                             core::Millis now) -> std::optional<EndedRun>;

  /// @param stored number of the newest batch of rows that is stored.
  [[nodiscard]] auto TakeCalls(core::Millis now,
                               std::uint64_t stored,
                               TermPermit permit) -> std::vector<WorkerCall>;

  /// @return when TakeCalls() may next return calls if nothing else happens;
  ///     nothing for never.
  [[nodiscard]] auto NextCallAt(std::uint64_t stored) const
      -> std::optional<core::Millis>;
  /// @return whether storing a later batch may cause calls.
  [[nodiscard]] auto AwaitsStore(std::uint64_t stored) const -> bool;

  /// @return the run, if the result proves that the worker never began it.
  [[nodiscard]] auto OnStart(const StartCall& call,
                             const CallResult& result,
                             core::Millis now) -> std::optional<EndedRun>;
  auto OnStop(const StopCall& call, const CallResult& result, core::Millis now)
      -> void;
  /// @param sent_at when the poll was sent.
  /// @return runs that are gone, in the order of their ends.
  [[nodiscard]] auto OnPoll(const PollCall& call,
                            const CallResult& result,
                            core::Millis sent_at,
                            core::Millis now) -> std::vector<EndedRun>;

  /// @return the tasks of which a worker has shown since the last call that a
  ///     run has begun.
  [[nodiscard]] auto TakeBegunTasks() -> std::vector<TaskId> {
    return std::exchange(begun_tasks_, {});
  }

  /// Lets all ends reported so far be acknowledged once this batch is stored.
  auto AcknowledgeEndsAfter(std::uint64_t batch) -> void;

  /// Takes over the lease row that a former holder stored: grants no lease
  /// until its deletion is stored.
  auto AdoptLeaseRow(core::Millis now) -> void {
    lease_row_written_at_ = now;
    grants_paused_ = true;
  }

  /// Decides whether the worker's lease row changes. A row is written while the
  /// worker, which has runs, gets no renewals, and deleted when it answers.
  /// @param batch batch that will contain the change.
  /// @param may_write whether a row may be written now, or only deleted.
  /// @param fleet_known whether a worker that is not listed has left.
  [[nodiscard]] auto TakeLeaseRowChange(core::Millis now,
                                        std::uint64_t batch,
                                        bool may_write,
                                        bool fleet_known)
      -> std::optional<LeaseRowChange>;

  /// @return whether no lease row exists or is about to be deleted.
  [[nodiscard]] auto may_grant(std::uint64_t stored) const -> bool {
    return !lease_row_written_at_ && lease_row_deleted_in_ <= stored;
  }

  /// @return whether the worker announced that it leaves, is no longer listed
  ///     and does not answer after that time. It may still only be cut off.
  [[nodiscard]] auto may_have_left(core::Millis now) const -> bool {
    return !listed_ && !is_answering() && leaves_at_ && now >= *leaves_at_;
  }
  /// @return whether it has also been seen to leave. A worker that is cut off
  ///     runs on until its leases have expired, and a cut may reset its
  ///     connections as an exit does.
  [[nodiscard]] auto has_left(core::Millis now) const -> bool {
    return may_have_left(now) && has_departed_;
  }
  /// Removes a run that is known to be gone.
  [[nodiscard]] auto DropRun(const TaskId& task) -> EndedRun {
    return RemoveRun(task, RunEnd::kLost);
  }

  /// @return runs whose leases have expired while the worker did not answer.
  [[nodiscard]] auto TakeLapsedRuns(core::Millis now) -> std::vector<EndedRun>;

  [[nodiscard]] auto info() const -> const WorkerInfo& { return info_; }
  [[nodiscard]] auto runs() const -> const std::map<TaskId, Run>& {
    return runs_;
  }
  /// @return the number of runs on the worker that the holder has no record of.
  [[nodiscard]] auto orphan_run_count() const -> std::size_t {
    return orphan_runs_.size();
  }
  [[nodiscard]] auto used() const -> const Resources& { return used_; }
  [[nodiscard]] auto is_listed() const -> bool { return listed_; }

  /// @return whether new runs may be placed.
  [[nodiscard]] auto is_usable() const -> bool {
    return listed_ && !replaced_ && !unlisted_incarnation_until_ &&
           has_answered_ && !info_.draining && unanswered_polls_ == 0 &&
           orphan_runs_.empty();
  }
  /// @return the earliest time on the steady clock at which a draining worker
  ///     leaves; nothing for one that does not drain.
  [[nodiscard]] auto leaves_at() const -> std::optional<core::Millis> {
    return leaves_at_;
  }
  /// @return whether the newest poll was answered.
  [[nodiscard]] auto is_answering() const -> bool {
    return has_answered_ && unanswered_polls_ == 0;
  }
  /// @return whether another worker has its address.
  [[nodiscard]] auto is_replaced() const -> bool { return replaced_; }
  /// @return how the newest poll failed; nothing if it was answered.
  [[nodiscard]] auto poll_failure() const -> std::optional<CallEnd> {
    return poll_failure_;
  }
  /// @return what the worker's clock shows now, at most; nothing for a worker
  ///     that does not answer or leaves.
  [[nodiscard]] auto WitnessOf(core::Millis now) const
      -> std::optional<ClockWitness>;
  /// @return whether the session has no runs to track.
  [[nodiscard]] auto is_idle() const -> bool {
    return runs_.empty() && orphan_runs_.empty();
  }

 private:
  /// Delay before an unanswered call is repeated: a few round trips.
  static constexpr core::Millis kRepeatMs = 100;

  struct PendingAcknowledgement {
    std::uint64_t batch = 0;
    std::int64_t number = 0;
  };
  /// A run on the worker that the term holder has no record of.
  struct OrphanRun {
    bool call_in_flight = false;
    core::Millis next_call_at = 0;
    std::optional<core::Millis> stop_confirmed_at;
  };
  /// The task and the attempt, which is the number of the run.
  using OrphanRunKey = std::pair<TaskId, std::int64_t>;

  auto UpdateLeaveTime(core::Millis now) -> void;
  auto RemoveRun(const TaskId& task, RunEnd how) -> EndedRun;
  auto GrantLease(core::Millis now) -> core::Millis;
  /// @return the time on the steady clock by which all leases that any holder
  ///     has granted have expired.
  [[nodiscard]] auto LastLeaseEnd(core::Millis now) const -> core::Millis;
  /// @return whether the worker gets no renewals since it does not answer.
  [[nodiscard]] auto IsSilent(bool fleet_known) const -> bool;
  [[nodiscard]] auto MakeCall(core::Millis now) const -> WorkerCall;
  auto AddRunCalls(core::Millis now,
                   std::uint64_t stored,
                   TermPermit permit,
                   std::vector<WorkerCall>& calls) -> void;
  /// @return calls that start or stop a run and are not answered yet.
  [[nodiscard]] auto RunCallsInFlight() const -> std::size_t;
  auto AddOrphanRunCalls(core::Millis now,
                         TermPermit permit,
                         std::vector<WorkerCall>& calls) -> void;
  auto AddPolls(core::Millis now,
                bool may_grant,
                std::vector<WorkerCall>& calls) -> void;
  /// @return whether the worker is to be polled.
  [[nodiscard]] auto WantsPoll() const -> bool {
    return !is_answering() || !is_idle() || stored_end_ > acknowledged_end_;
  }
  /// @return whether a call about the run is to be sent in its phase.
  [[nodiscard]] auto WantsCall(const Run& run, std::uint64_t stored) const
      -> bool {
    return !run.call_in_flight &&
           ((run.phase == RunPhase::kStarting && run.batch <= stored &&
             may_grant(stored)) ||
            (run.phase == RunPhase::kStopping && !run.stop_confirmed_at));
  }
  auto ApplyReportedEnds(const PollReport& report, std::vector<EndedRun>& gone)
      -> void;
  auto ApplyReportedRuns(const PollReport& report,
                         core::Millis sent_at,
                         core::Millis now,
                         std::vector<EndedRun>& gone) -> void;
  [[nodiscard]] auto ProvesAbsence(const Run& run, core::Millis sent_at) const
      -> bool;

  WorkerInfo info_;
  DispatchSettings settings_;
  std::shared_ptr<const FormerLeaseBound> former_leases_;
  bool listed_ = true;
  /// Its listing did not expire, but was deleted as it left.
  bool has_departed_ = false;
  /// Another worker has its address.
  bool replaced_ = false;
  /// The incarnation is known from the worker's own answer. A listing that
  /// shows another one until then is an older one.
  std::optional<core::Millis> unlisted_incarnation_until_;
  std::optional<core::Millis> leaves_at_;
  /// Has answered a poll of this holder in its current incarnation.
  bool has_answered_ = false;
  WorkerClock clock_;
  /// Latest end of any lease granted, on the worker's clock; zero if this
  /// holder has granted none.
  core::Millis lease_until_ = 0;
  /// When the lease row was written, if one exists or is being stored.
  std::optional<core::Millis> lease_row_written_at_;
  /// Batch with the newest deletion of the lease row.
  std::uint64_t lease_row_deleted_in_ = 0;
  /// A lease row was written, and its deletion is not known to be stored.
  bool grants_paused_ = false;
  std::map<TaskId, Run> runs_;
  std::map<OrphanRunKey, OrphanRun> orphan_runs_;
  std::vector<TaskId> begun_tasks_;
  Resources used_;
  /// Newest end that was reported, and the newest that is stored.
  std::int64_t reported_end_ = 0;
  std::int64_t stored_end_ = 0;
  /// Newest end that was acknowledged to the worker.
  std::int64_t acknowledged_end_ = 0;
  std::deque<PendingAcknowledgement> pending_acknowledgements_;
  bool waiting_poll_in_flight_ = false;
  bool immediate_poll_in_flight_ = false;
  bool immediate_poll_wanted_ = false;
  core::Millis next_poll_at_ = 0;
  int unanswered_polls_ = 0;
  std::optional<CallEnd> poll_failure_;
};

}  // namespace kcm::dispatch
