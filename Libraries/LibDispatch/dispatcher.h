#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/event.h"
#include "LibCore/reason.h"
#include "LibDispatch/account_shares.h"
#include "LibDispatch/call_schedule.h"
#include "LibDispatch/clock_reading.h"
#include "LibDispatch/crash_evidence.h"
#include "LibDispatch/dispatch_load.h"
#include "LibDispatch/dispatch_settings.h"
#include "LibDispatch/fleet_view.h"
#include "LibDispatch/former_lease_bound.h"
#include "LibDispatch/former_leases.h"
#include "LibDispatch/job_order.h"
#include "LibDispatch/job_owner.h"
#include "LibDispatch/job_table.h"
#include "LibDispatch/placement_finder.h"
#include "LibDispatch/plan_pass.h"
#include "LibDispatch/slow_workers.h"
#include "LibDispatch/worker_health.h"
#include "LibDispatch/worker_session.h"
#include "LibSchedule/run_time_distribution.h"

namespace kcm::dispatch {

/// Rows that are stored together, before any later batch. One that is too long
/// for an append is stored in parts, one after the other.
struct Batch {
  std::uint64_t number = 0;
  std::vector<StateRow> rows;
  /// No further part of the batch follows.
  bool is_whole = true;
};

/// State of a job as reported to its caller.
struct JobView {
  JobPhase phase = JobPhase::kQueued;
  /// A run of one of its tasks has begun.
  bool has_begun = false;
  /// The view may be reported once this batch is stored.
  std::uint64_t batch = 0;
};

/// A scheduling decision to be logged.
struct DecisionRecord {
  core::Event event = core::Event::kJobPlaced;
  core::Json fields;
};

/// Places the tasks of all accepted jobs on workers, for the term holder.
///
/// Does no I/O and reads no clock. Durable state is returned as batches of
/// rows. Until a batch is marked as stored, nothing that depends on it happens:
/// no start is sent, no end of a run is acknowledged to its worker and no
/// caller is answered.
class Dispatcher {
 public:
  explicit Dispatcher(DispatchSettings settings);

  /// Loads the state that former term holders stored.
  auto Recover(const std::vector<StateRow>& rows, const FormerLeases& former)
      -> void;

  auto set_settings(const DispatchSettings& settings) -> void {
    settings_ = settings;
  }
  /// Replaces the queues; jobs of a dropped queue keep its last policy.
  auto SetQueues(const std::map<std::string, QueuePolicy>& queues) -> void;
  /// Replaces the accelerators that are guaranteed to each client account.
  auto SetGuarantees(std::map<std::string, std::int64_t> guarantees) -> void;
  /// Records that the platform deleted a worker's listing; SetFleet() follows.
  /// @param max_silence_ms upper bound on the time from the worker's last
  ///     heartbeat to the deletion; nothing if there is none.
  auto ObserveListingRemoval(const std::string& worker,
                             std::optional<core::Millis> max_silence_ms)
      -> void;
  /// Replaces the listed workers.
  auto SetFleet(const std::vector<WorkerInfo>& workers, ClockReading now)
      -> void;

  /// Replaces the evacuated data centres. No task is started there until they
  /// are taken back; starts that no worker has confirmed are withdrawn.
  auto SetEvacuated(std::set<std::string> data_centres, ClockReading now)
      -> void;

  /// @return the memory that the accepted jobs take.
  [[nodiscard]] auto work() const -> const AcceptedWork& {
    return job_table_.work();
  }
  /// Accepts a job; returns the existing job if its id is known.
  [[nodiscard]] auto Submit(JobSpec spec, ClockReading now) -> JobView;
  /// @return the current state of the job, or nothing if it is unknown.
  [[nodiscard]] auto FindJob(const std::string& job) const
      -> std::optional<JobView>;
  /// Cancels a job; an ended job is left unchanged.
  [[nodiscard]] auto Cancel(const std::string& job, ClockReading now)
      -> std::optional<JobView>;
  /// Withdraws an accepted job. The caller ensures that no row of it is stored.
  /// @return whether the job was removed and will never run.
  [[nodiscard]] auto Withdraw(const std::string& job, ClockReading now) -> bool;
  /// @return whose the job is, or nothing if it is unknown.
  [[nodiscard]] auto OwnerOf(const std::string& job) const
      -> std::optional<JobOwner>;
  /// @return the number of jobs in phase kQueued, by queue.
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t> {
    return job_table_.PendingByQueue();
  }

  /// @param with_deferred whether to return rows that can wait for others even
  ///     if there are no others.
  /// @return rows to store, or nothing; only one batch, or one part, may be in
  ///     flight.
  [[nodiscard]] auto TakeBatch(bool with_deferred) -> std::optional<Batch>;
  /// @param batch the number of a batch that is stored whole.
  auto MarkStored(std::uint64_t batch) -> void {
    stored_ = batch;
    call_schedule_.OnStored();
  }
  [[nodiscard]] auto stored_batch() const -> std::uint64_t { return stored_; }

  /// Advances timers, plans placements and collects the calls to send.
  /// A start without an answer is repeated only after the term was confirmed
  /// anew.
  [[nodiscard]] auto TakeCalls(ClockReading now, TermPermit permit)
      -> std::vector<WorkerCall>;
  /// Handles the result of a call that TakeCalls() returned.
  auto OnResult(const WorkerCall& call,
                const CallResult& result,
                ClockReading now) -> void;

  /// @return witnesses of this moment, on different racks if possible.
  [[nodiscard]] auto FindWitnesses(ClockReading now) const -> ClockWitnesses;

  /// @return the decisions made since the last call.
  [[nodiscard]] auto TakeDecisions() -> std::vector<DecisionRecord> {
    return std::exchange(decisions_, {});
  }

  /// @return the work done since the dispatcher was created.
  [[nodiscard]] auto load() const -> const DispatchLoad& { return load_; }

  [[nodiscard]] auto job_table() const -> const JobTable& { return job_table_; }
  [[nodiscard]] auto sessions() const
      -> const std::map<std::string, WorkerSession>& {
    return sessions_;
  }
  [[nodiscard]] auto account_shares() const -> const AccountShares& {
    return account_shares_;
  }
  [[nodiscard]] auto evacuated() const -> const std::set<std::string>& {
    return evacuated_;
  }
  /// @return whether the listed workers are known.
  [[nodiscard]] auto is_fleet_known() const -> bool { return fleet_known_; }

 private:
  /// Waiting tasks of one step.
  struct PendingStep {
    Job* job = nullptr;
    Step* step = nullptr;
    std::vector<std::size_t> tasks;
    JobRank rank;
    /// A task, or a gang, that is kept apart as a suspect; see CrashEvidence.
    bool is_isolated = false;
    /// How the job's account stands in the group of the rank; nothing while the
    /// group is not ordered by accounts.
    std::optional<AccountShare> account_share = std::nullopt;
    /// It comes after the steps of accounts within their shares.
    bool is_beyond_share = false;

    [[nodiscard]] auto Group() const -> OrderGroup {
      return {static_cast<int>(rank.tier), rank.priority};
    }
  };
  /// Waiting steps of one tier and priority, in the order of their ranks.
  using PendingGroup = std::span<PendingStep>;
  /// The max-min shares of the accounts of one pool, in one group.
  using PoolShares = std::map<std::string, std::map<std::string, double>>;

  auto PolicyOf(const Job& job) const -> const QueuePolicy&;
  /// @param span the leases expire at most this long after the moment that the
  ///     witnesses tell, which was before the stored rows were read.
  auto AddLeaseBound(core::Millis span, const ClockWitnesses& witnesses)
      -> std::shared_ptr<const FormerLeaseBound>;
  /// Moves bounds on leases to earlier times by a witness's first answer.
  auto ObserveWitness(const std::string& worker,
                      const PollReport& report,
                      ClockReading now) -> void;
  /// Adds a session for each worker with a stored lease row.
  auto LoadLeaseRows(const std::vector<StateRow>& rows) -> void;
  /// Writes and deletes lease rows, to be stored with the next batch.
  auto UpdateLeaseRow(const std::string& worker,
                      WorkerSession& session,
                      bool may_write,
                      ClockReading now) -> void;
  /// @return the newest incarnation of each worker that tasks are placed on.
  [[nodiscard]] auto PlacedIncarnations() const
      -> std::map<std::string, std::int64_t>;
  /// Stops the remaining members of a gang that a former holder was stopping.
  auto StopBrokenGang(Job& job, Step& step) -> void;
  auto BatchOfNewestRows() const -> std::uint64_t;
  static auto ViewOf(const Job& job) -> JobView {
    return {job.phase, job.has_begun, job.batch};
  }
  auto RecordBegunTasks(WorkerSession& session) -> void;
  /// Logs that a poll's answer had no room for all ends.
  auto RecordCutEnds(const PollCall& poll,
                     const PollReport& report,
                     const WorkerSession& session) -> void;
  auto ApplyRunEnd(const std::string& worker,
                   const EndedRun& ended,
                   ClockReading now) -> void;
  /// Counts a worker's crash as evidence against the tasks that were there.
  /// @param ended the runs that are known to be gone with the former life.
  auto RecordWorkerCrash(const std::string& worker,
                         const std::vector<EndedRun>& ended,
                         ClockReading now) -> void;
  /// Adds to a task's evidence; gives the task up if it is conclusive.
  auto ImplicateTask(const std::string& worker,
                     const RunAtCrash& run,
                     Implication implication,
                     ClockReading now) -> void;
  /// Drops the evidence against a task of which a later run ended by itself
  /// without a crash.
  auto ClearEvidence(Job& job,
                     Step& step,
                     const EndedRun& ended,
                     ClockReading now) -> void;
  /// @return whether a task is kept apart from others when it starts.
  [[nodiscard]] static auto IsSuspect(const Job& job,
                                      const Step& step,
                                      std::size_t index) -> bool;
  auto RecordTaskDone(Job& job,
                      Step& step,
                      const EndedRun& ended,
                      ClockReading now) -> void;
  /// Stops the run of a member of a gang that is done, unless its worker has
  /// confirmed the attempt that was done.
  auto StopUnlessConfirmed(const TaskId& id,
                           std::int64_t attempt,
                           ClockReading now) -> void;
  auto RecordTaskFailure(Job& job,
                         Step& step,
                         const std::string& worker,
                         const EndedRun& ended,
                         ClockReading now) -> void;
  /// @return whether a failed run ended within a small part of its run time.
  [[nodiscard]] auto FailedAtOnce(const Job& job,
                                  const Step& step,
                                  const EndedRun& ended,
                                  ClockReading now) const -> bool;
  auto RequeueTask(Job& job, Step& step, std::size_t index, ClockReading now)
      -> void;
  auto RecordRunTime(const Job& job,
                     const Step& step,
                     const EndedRun& ended,
                     ClockReading now) -> void;
  /// @return for how long a run has worked, as far as this holder can tell.
  [[nodiscard]] auto WorkedMs(const Run& run,
                              const Job& job,
                              const StepSpec& spec,
                              ClockReading now) const -> core::Millis;
  /// @return the core-seconds of a run that ended before it was done and of
  ///     which no checkpoint was saved.
  [[nodiscard]] auto LostCoreSeconds(const EndedRun& ended,
                                     const Job& job,
                                     ClockReading now) const -> double;
  /// Ends the runs of a worker whose address another one has.
  auto EndReplacedWorker(const std::string& worker,
                         WorkerSession& session,
                         const char* evidence,
                         ClockReading now) -> void;
  /// @return whether another worker answered last at the address of a silent
  ///     worker with runs.
  [[nodiscard]] auto IsReplaced(const WorkerSession& session) const -> bool;
  auto StopRun(const TaskId& task, StopCause cause, ClockReading now) -> void;
  auto StopStep(Job& job, Step& step, StopCause cause, ClockReading now)
      -> void;
  auto EndJob(Job& job, JobPhase phase, ClockReading now) -> void;

  /// @return whether the worker's data centre is evacuated.
  [[nodiscard]] auto IsEvacuated(const WorkerInfo& worker) const -> bool {
    return evacuated_.contains(worker.data_centre);
  }
  /// Stops the runs on evacuated workers that have not begun; of a gang with
  /// such a run all, since the others would wait for it.
  /// @return the number of these runs.
  auto WithdrawEvacuatedStarts(ClockReading now) -> std::size_t;
  /// Sets the number of workers that rules on parts of the fleet refer to.
  auto UpdateFleetSize() -> void;

  auto AdvanceTimers(ClockReading now) -> void;
  /// Checks all sessions for what only the passing of time changes.
  auto WatchSessions(ClockReading now) -> void;
  auto StopHungRuns(ClockReading now) -> void;
  /// Drops runs on a worker that has left as announced, whose leases need not
  /// be awaited: all if its listing was deleted as it left, and else the
  /// members of gangs of which others have ended as broken, since a gang ends
  /// as a whole.
  [[nodiscard]] auto TakeRunsOfLeftWorker(WorkerSession& session,
                                          ClockReading now)
      -> std::vector<EndedRun>;
  /// @return the expected end of a run, on the steady clock.
  auto ExpectedEndOf(const Run& run,
                     const Job& job,
                     const StepSpec& spec,
                     ClockReading now) const -> core::Millis;
  /// @return whether to stop a run now because its worker leaves.
  auto ShouldStopBeforeLeave(const Run& run,
                             core::Millis leaves_at,
                             ClockReading now) const -> bool;
  auto StopRunsOnLeavingWorkers(ClockReading now) -> void;
  /// Compares the progress of runs, and moves them off slow workers.
  auto WatchSpeeds(ClockReading now) -> void;
  /// Logs now and then what the run times of the busiest queues are taken for.
  auto ReportRunTimes(ClockReading now) -> void;
  auto MoveSlowRuns(ClockReading now) -> void;
  /// @return whether a run on a slow worker would end sooner elsewhere.
  [[nodiscard]] auto IsWorthMoving(const Run& run, const Job& job) const
      -> bool;
  /// Makes a planning pass and sets the pause after it.
  auto PlanPlacements(ClockReading now) -> void;
  auto PlacePendingSteps(ClockReading now) -> void;
  /// Closes the workers on which a suspect has just begun, and finds out where
  /// further ones may be started.
  auto IsolateSuspects(const std::vector<PendingStep>& pending_steps,
                       PlanPass& pass,
                       ClockReading now) -> void;
  /// Adds the workers on which a suspect of the job has just begun.
  /// @return how many more suspects of the job may start: one at first, and one
  ///     more for each that is done or has run for a while.
  auto CountSuspectSlots(Job& job,
                         std::set<std::string>& closed,
                         ClockReading now) -> std::int64_t;
  [[nodiscard]] auto IsolationOf(const WorkerSession& session,
                                 ClockReading now) const -> Isolation;
  /// @return whether a suspect waits until others of its job have run for a
  ///     while.
  [[nodiscard]] static auto AwaitsOtherSuspects(const PendingStep& pending,
                                                const PlanPass& pass) -> bool;
  /// Places a suspect apart from other work, for which it waits a little.
  /// @return whether it is placed or waits.
  auto PlanSuspect(PendingStep& pending,
                   PlacementRequest& request,
                   PlanPass& pass,
                   ClockReading now) -> bool;
  /// Places a suspect so that nothing joins it.
  auto PlaceApart(PendingStep& pending,
                  const Placement& placement,
                  PlanPass& pass,
                  ClockReading now) -> void;
  /// Plans the steps of one tier and priority, those of accounts beyond their
  /// share after the others; see docs/design/account-order.md.
  auto PlanGroup(PendingGroup group,
                 const std::map<std::string, bool>& guaranteed_jobs,
                 PlanPass& pass,
                 ClockReading now) -> void;
  /// @return the shares by pool, of the pools in which several accounts have
  ///     steps in the group which do not all fit.
  [[nodiscard]] auto SharesInGroup(PendingGroup group,
                                   const PlanPass& pass,
                                   ClockReading now) -> PoolShares;
  /// Compares the usage of a step's account, including the runs placed in this
  /// pass, with its share.
  auto CompareShare(PendingStep& pending,
                    double max_min,
                    const PlanPass& pass,
                    ClockReading now) -> void;
  /// Plans the tasks of a step that the present usage of its account leaves
  /// room for within its share.
  /// @return whether that were all, or no more fit.
  auto PlanWithinShare(PendingStep& pending,
                       const std::map<std::string, bool>& guaranteed_jobs,
                       PlanPass& pass,
                       ClockReading now) -> bool;
  /// Records what the steps of a group still wait for.
  auto NoteStillWaiting(PendingGroup group, PlanPass& pass) const -> void;
  [[nodiscard]] auto PoolAccountOf(const Job& job) const -> PoolAccount {
    return {PolicyOf(job).service, job.spec.account};
  }
  /// Adds the account and its share to the fields of a decision.
  static auto AddAccountFields(const PendingStep& pending, core::Json& fields)
      -> void;
  auto GuaranteedJobs() -> std::map<std::string, bool>;
  auto BuildFleetView(ClockReading now) -> FleetView;
  /// Adds the runs to the view, which only some searches need.
  auto AddRunViews(const std::map<std::string, bool>& guaranteed_jobs,
                   PlanPass& pass,
                   ClockReading now) -> void;
  /// @return since when the last attempt of a waiting task is held back from
  ///     workers that are not proven; zero if it is not.
  [[nodiscard]] auto HeldSince(const Task& task, ClockReading now) const
      -> core::Millis;
  /// @return the least WorkerView::proven_at of workers that may run the step
  ///     now; zero for any.
  [[nodiscard]] auto ProvenSince(const PendingStep& pending,
                                 ClockReading now) const -> core::Millis;
  auto BuildRunView(const Run& run,
                    const std::map<std::string, bool>& guaranteed_jobs,
                    ClockReading now) -> RunView;
  /// What tasks that ask for next to nothing may still get; see
  /// DispatchSettings::max_small_runs.
  struct SmallRuns {
    std::int64_t runs = 0;
    /// At least the capacity of each worker.
    Resources largest_worker;
  };
  [[nodiscard]] auto RoomForSmallRuns() const -> SmallRuns;
  /// Leaves out the tasks of a step that may not be started for the number of
  /// runs, and subtracts the others.
  static auto LimitSmallTasks(const StepSpec& spec,
                              PendingStep& pending,
                              SmallRuns& room) -> void;
  auto CollectPendingSteps(const std::map<std::string, bool>& guaranteed_jobs,
                           ClockReading now) -> std::vector<PendingStep>;
  auto BuildPlacementRequest(const PendingStep& pending,
                             const FleetView& fleet,
                             ClockReading now) const -> PlacementRequest;
  auto PlanStep(PendingStep& pending,
                const std::map<std::string, bool>& guaranteed_jobs,
                PlanPass& pass,
                ClockReading now) -> void;
  /// Places the tasks of a step that has waited long enough for the rack that
  /// it prefers on other workers.
  auto PlaceElsewhere(PendingStep& pending,
                      const PlacementRequest& request,
                      PlanPass& pass,
                      ClockReading now) -> void;
  /// @return whether a run of the task was slower for the rack it was in.
  [[nodiscard]] auto IsAwayFromRack(const Job& job,
                                    const Step& step,
                                    const Task& task) const -> bool;
  /// Logs now and then why the steps that wait longest are not placed.
  auto ReportLongWaits(const std::vector<PendingStep>& pending_steps,
                       const PlanPass& pass,
                       ClockReading now) -> void;
  auto Place(PendingStep& pending,
             const Placement& placement,
             FleetView& fleet,
             ClockReading now) -> void;
  /// @return whether capacity for the step is being freed.
  auto EvictFor(const PendingStep& pending,
                const PlacementRequest& request,
                PlanPass& pass,
                ClockReading now) -> bool;
  auto StopVictims(const std::vector<TaskId>& victims,
                   const std::string& beneficiary,
                   ClockReading now) -> void;
  auto RecordDecision(core::Event event, core::Json fields) -> void {
    decisions_.push_back({event, std::move(fields)});
  }

  DispatchSettings settings_;
  JobTable job_table_;
  std::map<std::string, WorkerSession> sessions_;
  CallSchedule call_schedule_;
  std::map<std::string, QueuePolicy> queues_;
  std::map<std::string, std::int64_t> guarantees_;
  std::set<std::string> evacuated_;
  AccountShares account_shares_;
  /// PlanPass::groups_without_room of the newest planning pass.
  std::set<std::pair<std::string, OrderGroup>> groups_without_room_;
  WorkerHealth health_;
  SlowWorkers slow_workers_;
  core::Millis next_speeds_at_ = 0;
  schedule::RunTimeDistribution estimates_;
  /// Runs that were counted since the newest report, by queue.
  std::map<std::string, std::int64_t> runs_since_report_;
  core::Millis next_run_times_at_ = 0;
  FormerLeases former_leases_;
  /// Bounds on leases that await the first answer of a witness, by witness.
  std::multimap<std::string, std::shared_ptr<FormerLeaseBound>>
      bounds_by_witness_;
  /// The bound on the leases of workers without a lease row.
  std::shared_ptr<const FormerLeaseBound> common_bound_;
  /// Lease rows to be stored with the next batch.
  std::vector<StateRow> lease_rows_;
  core::Millis next_lease_rows_at_ = 0;
  /// The newest answered poll at an address.
  struct AnswerAtAddress {
    std::string worker;
    core::Millis sent_at = 0;
  };
  std::map<std::string, AnswerAtAddress> newest_at_address_;
  /// The fleet's listing was read.
  bool fleet_known_ = false;
  std::uint64_t next_batch_ = 1;
  std::uint64_t stored_ = 0;
  core::Millis next_plan_at_ = 0;
  /// End of the pause after the newest planning pass.
  core::Millis plan_pause_until_ = 0;
  core::Millis next_wait_report_at_ = 0;
  core::Millis next_watch_at_ = 0;
  core::Millis next_prune_at_ = 0;
  /// Urgent steps for which runs were evicted, and when to evict again.
  std::map<TaskId, core::Millis> evicting_until_;
  std::vector<DecisionRecord> decisions_;
  DispatchLoad load_;
};

}  // namespace kcm::dispatch
