#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/reason.h"
#include "LibDispatch/accepted_work.h"
#include "LibDispatch/job.h"
#include "LibDispatch/state_row.h"

namespace kcm::dispatch {

/// The accepted jobs and their durable rows.
///
/// A job has one row with its specification and one small row for each task
/// that was ever placed. When the job ends, one short row remains until its
/// status need no longer be available. Rows that a function writes or deletes
/// are not stored before TakeRows() has returned them to the caller.
class JobTable {
 public:
  /// Loads the rows that a former term holder wrote.
  /// @param rejected called for each row that cannot be read and is skipped.
  auto Load(const std::vector<StateRow>& rows,
            const std::function<void(const std::string& key,
                                     const core::Reason& reason)>& rejected)
      -> void;

  /// Adds a new job and its row.
  auto AddJob(JobSpec spec) -> Job&;

  /// @return whether the row of a new job has at most `max_bytes`.
  [[nodiscard]] static auto FitsIntoRow(const JobSpec& spec,
                                        std::size_t max_bytes) -> bool;

  [[nodiscard]] auto FindJob(const std::string& id) -> Job*;
  [[nodiscard]] auto FindJob(const std::string& id) const -> const Job*;

  /// Writes the current row of one task, to be returned by TakeRows().
  auto StoreTask(Job& job, const Step& step, std::size_t index) -> void;

  /// Records that a run of a task has begun. For the first one of a job a row
  /// is written with the next other rows: an append of its own would delay
  /// those.
  auto RecordBegun(const TaskId& id) -> void;

  /// Ends a job: writes its final row and deletes the rows of its tasks.
  /// @param now since the Unix epoch.
  auto EndJob(Job& job, JobPhase phase, core::Millis now) -> void;

  /// Removes a job of which no row was stored, with its pending rows.
  auto Withdraw(const std::string& id) -> void;

  [[nodiscard]] static auto IsRowOf(const std::string& key,
                                    const std::string& job) -> bool;

  /// Removes jobs that ended before a point in time.
  /// @param ended_before since the Unix epoch.
  auto Prune(core::Millis ended_before) -> void;

  /// @return the number of jobs in phase kQueued, by queue.
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t>;

  [[nodiscard]] auto jobs() -> std::map<std::string, Job>& { return jobs_; }
  [[nodiscard]] auto jobs() const -> const std::map<std::string, Job>& {
    return jobs_;
  }

  /// @return the jobs that have not ended, in the order of their ids.
  [[nodiscard]] auto live_jobs() const -> const std::map<std::string, Job*>& {
    return live_jobs_;
  }

  /// @return the first of the rows that were written or deleted and not
  ///     returned yet, to be stored: `max_bytes` of them, or a single one.
  [[nodiscard]] auto TakeRows(
      std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      -> std::vector<StateRow>;

  /// @return the memory that the jobs take, ended ones too.
  [[nodiscard]] auto work() const -> const AcceptedWork& { return work_; }

  [[nodiscard]] auto has_rows() const -> bool { return !rows_.empty(); }
  /// @return whether there are rows that can wait for others.
  [[nodiscard]] auto has_deferred_rows() const -> bool {
    return !unstored_begun_tasks_.empty();
  }

 private:
  /// Inserts a job, or replaces the one of its id.
  auto InsertJob(Job job) -> Job&;
  /// Subtracts a job that is about to be removed.
  auto SubtractWork(const Job& job) -> void;
  auto LoadJob(const StateRow& row, core::Reason& reason) -> bool;
  auto LoadTask(const StateRow& row, core::Reason& reason) -> bool;

  std::map<std::string, Job> jobs_;
  /// Ended jobs, which are kept for minutes, far outnumber the others.
  std::map<std::string, Job*> live_jobs_;
  std::vector<StateRow> rows_;
  AcceptedWork work_;
  /// Tasks that have begun, of which no row says so yet.
  std::vector<TaskId> unstored_begun_tasks_;
};

}  // namespace kcm::dispatch
