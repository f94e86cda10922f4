#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/event.h"
#include "LibCore/reason.h"
#include "LibDispatch/dispatch_settings.h"
#include "LibDispatch/fleet_view.h"
#include "LibDispatch/job_book.h"
#include "LibDispatch/job_order.h"
#include "LibDispatch/moment.h"
#include "LibDispatch/seat_finder.h"
#include "LibDispatch/worker_health.h"
#include "LibDispatch/worker_session.h"
#include "LibSchedule/run_time_estimate.h"

namespace kcm::dispatch {

/// Rows that are to be stored together, before anything that follows.
struct Batch {
  std::uint64_t number = 0;
  std::vector<Row> rows;
};

/// What a job looks like to its caller.
struct JobView {
  JobPhase phase = JobPhase::kQueued;
  /// The view is true once this batch is stored.
  std::uint64_t batch = 0;
};

/// A decision, for the log.
struct Note {
  core::Event event = core::Event::kJobPlaced;
  core::Json fields;
};

/// Decides, for the holder of the term, what runs where.
///
/// Pure: it holds no socket, clock or thread. Whatever must last comes out as
/// batches of rows, and nothing that depends on a batch happens before
/// Stored() was called for it: no start is sent, no end is forgotten by its
/// worker, no caller is answered.
class Dispatcher {
 public:
  explicit Dispatcher(DispatchSettings settings);

  /// Reads the state that former holders stored.
  /// @param lapse_floor point on the steady clock after which no lease that a
  ///     former holder granted runs any more.
  auto Recover(const std::vector<Row>& rows, core::Millis lapse_floor) -> void;

  auto set_settings(const DispatchSettings& settings) -> void {
    settings_ = settings;
  }
  /// Replaces the queues; jobs of a dropped queue keep its last policy.
  auto SetQueues(const std::map<std::string, QueuePolicy>& queues) -> void;
  /// Replaces the accelerators that are guaranteed to each client account.
  auto SetGuarantees(std::map<std::string, std::int64_t> guarantees) -> void;
  /// Replaces the listed workers.
  auto SetFleet(const std::vector<WorkerInfo>& workers, Moment now) -> void;

  /// Accepts a job, or finds it accepted already.
  [[nodiscard]] auto Submit(JobSpec spec, Moment now) -> JobView;
  /// @return the job as it is now, or nothing when there is none.
  [[nodiscard]] auto Find(const std::string& job) const
      -> std::optional<JobView>;
  /// Cancels a job; one that has ended stays as it is.
  [[nodiscard]] auto Cancel(const std::string& job, Moment now)
      -> std::optional<JobView>;
  /// Takes back a job that Submit() accepted and of which the store provably
  /// has no row: it never runs.
  /// @return whether that is so.
  [[nodiscard]] auto Withdraw(const std::string& job, Moment now) -> bool;
  /// @return the account that submitted a job.
  [[nodiscard]] auto AccountOf(const std::string& job) const -> std::string;
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t> {
    return book_.PendingByQueue();
  }

  /// @return rows to store, or nothing; one batch may be under way at a time.
  [[nodiscard]] auto TakeBatch() -> std::optional<Batch>;
  auto Stored(std::uint64_t batch) -> void { stored_ = batch; }
  [[nodiscard]] auto stored() const -> std::uint64_t { return stored_; }

  /// Decides what to do now.
  /// @param may_renew whether the holder's term allows it to renew leases.
  [[nodiscard]] auto TakeCalls(Moment now, bool may_renew)
      -> std::vector<WorkerCall>;
  /// Takes the result of a call that TakeCalls() gave.
  auto OnResult(const WorkerCall& call, const CallResult& result, Moment now)
      -> void;

  /// @return decisions since the last call.
  [[nodiscard]] auto TakeNotes() -> std::vector<Note> {
    return std::exchange(notes_, {});
  }

  [[nodiscard]] auto book() const -> const JobBook& { return book_; }
  [[nodiscard]] auto sessions() const
      -> const std::map<std::string, WorkerSession>& {
    return sessions_;
  }

 private:
  /// Waiting tasks of one step.
  struct Unit {
    Job* job = nullptr;
    Step* step = nullptr;
    std::vector<std::size_t> tasks;
    JobRank rank;
  };

  auto PolicyOf(const Job& job) const -> const QueuePolicy&;
  /// Stops what is left of a gang that a former holder was stopping.
  auto StopBrokenGang(Job& job, Step& step) -> void;
  auto GateOf() const -> std::uint64_t;
  auto Apply(const std::string& worker, const EndedRun& ended, Moment now)
      -> void;
  auto ApplyDone(Job& job, Step& step, const EndedRun& ended, Moment now)
      -> void;
  auto ApplyFailed(Job& job,
                   Step& step,
                   const std::string& worker,
                   const EndedRun& ended,
                   Moment now) -> void;
  auto Release(Job& job, Step& step, std::size_t index, Moment now) -> void;
  auto Learn(const Job& job,
             const Step& step,
             const EndedRun& ended,
             Moment now) -> void;
  auto StopRun(const TaskId& task, Moment now) -> void;
  auto StopStep(Job& job, Step& step, Moment now) -> void;
  auto EndJob(Job& job, JobPhase phase, Moment now) -> void;

  auto Tick(Moment now) -> void;
  auto StopHungRuns(Moment now) -> void;
  /// @return when a run is expected to end, on the steady clock.
  auto ExpectedEndOf(const Run& run,
                     const Job& job,
                     const StepSpec& spec,
                     Moment now) const -> core::Millis;
  /// @return whether a run on a worker that leaves is better stopped now.
  auto MustLeaveNow(const Run& run, core::Millis leaves_at, Moment now) const
      -> bool;
  auto StopRunsOfLeaving(Moment now) -> void;
  auto Plan(Moment now) -> void;
  auto CoveredJobs() const -> std::map<std::string, bool>;
  auto ViewFleet(const std::map<std::string, bool>& covered, Moment now)
      -> FleetView;
  auto SeatedRunOf(const Run& run,
                   const std::map<std::string, bool>& covered,
                   Moment now) -> SeatedRun;
  auto WaitingUnits(const std::map<std::string, bool>& covered, Moment now)
      -> std::vector<Unit>;
  auto RequestOf(const Unit& unit, const FleetView& fleet, Moment now) const
      -> SeatRequest;
  auto PlanUnit(Unit& unit, FleetView& fleet, int& reservations, Moment now)
      -> void;
  auto Place(Unit& unit, const Seats& seats, FleetView& fleet, Moment now)
      -> void;
  /// @return whether room is being made.
  auto Evict(const Unit& unit,
             const SeatRequest& request,
             FleetView& fleet,
             Moment now) -> bool;
  auto StopVictims(const std::vector<TaskId>& victims,
                   const std::string& beneficiary,
                   Moment now) -> void;
  auto AddNote(core::Event event, core::Json fields) -> void {
    notes_.push_back({event, std::move(fields)});
  }

  DispatchSettings settings_;
  JobBook book_;
  std::map<std::string, WorkerSession> sessions_;
  std::map<std::string, QueuePolicy> queues_;
  std::map<std::string, std::int64_t> guarantees_;
  WorkerHealth health_;
  schedule::RunTimeEstimate estimates_;
  core::Millis lapse_floor_ = 0;
  std::uint64_t next_batch_ = 1;
  std::uint64_t stored_ = 0;
  core::Millis next_plan_at_ = 0;
  core::Millis next_prune_at_ = 0;
  /// Urgent steps for which room is being made, and until when.
  std::map<TaskId, core::Millis> evicting_until_;
  std::vector<Note> notes_;
};

}  // namespace kcm::dispatch
