#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/reason.h"
#include "LibDispatch/job.h"
#include "LibDispatch/row.h"

namespace kcm::dispatch {

/// The accepted jobs and their durable rows.
///
/// A job is one row with its specification and one small row for each task
/// that was ever placed; when it ends, one short row remains until nobody may
/// ask for it any more.
class JobBook {
 public:
  /// Reads the rows that a former holder wrote.
  /// @param rejected told of each row that cannot be read; it is passed over.
  auto Load(const std::vector<Row>& rows,
            const std::function<void(const std::string& key,
                                     const core::Reason& reason)>& rejected)
      -> void;

  /// Adds a new job and its row.
  auto Add(JobSpec spec) -> Job&;

  [[nodiscard]] auto Find(const std::string& id) -> Job*;
  [[nodiscard]] auto Find(const std::string& id) const -> const Job*;

  /// Writes the row of one task.
  auto StoreTask(Job& job, const Step& step, std::size_t index) -> void;

  /// Ends a job: its last row, and its tasks' rows are dropped.
  /// @param now since the Unix epoch.
  auto End(Job& job, JobPhase phase, core::Millis now) -> void;

  /// Forgets a job of which no row was stored, and its rows.
  auto Withdraw(const std::string& id) -> void;

  /// @return whether a row belongs to a job.
  [[nodiscard]] static auto IsRowOf(const std::string& key,
                                    const std::string& job) -> bool;

  /// Forgets jobs that ended before a point in time.
  /// @param ended_before since the Unix epoch.
  auto Prune(core::Millis ended_before) -> void;

  /// @return accepted jobs of each queue of which no task has started.
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t>;

  [[nodiscard]] auto jobs() -> std::map<std::string, Job>& { return jobs_; }
  [[nodiscard]] auto jobs() const -> const std::map<std::string, Job>& {
    return jobs_;
  }

  /// @return the rows written since the last call.
  [[nodiscard]] auto TakeRows() -> std::vector<Row>;

  [[nodiscard]] auto has_rows() const -> bool { return !rows_.empty(); }

 private:
  auto LoadJob(const Row& row, core::Reason& reason) -> bool;
  auto LoadTask(const Row& row, core::Reason& reason) -> bool;

  std::map<std::string, Job> jobs_;
  std::vector<Row> rows_;
};

}  // namespace kcm::dispatch
