#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "LibState/fold.h"
#include "LibState/job.h"

namespace kcm::state {

/// Period in which one scheduler process places the jobs of a data centre. Each
/// claim raises the number by one; records that a scheduler wrote in any other
/// term are rejected.
struct Term {
  std::int64_t number = 0;
  /// The process that claimed the term.
  std::string holder;

  auto operator==(const Term&) const -> bool = default;
};

KCM_JSON(Term, number, holder)

/// The jobs of one cell and the term of its scheduler. A cell is one data
/// centre as the unit of scheduling.
class CellFold final : public Fold {
 public:
  [[nodiscard]] auto term() const -> const Term& { return term_; }
  /// @return jobs by id, including retained ended ones.
  [[nodiscard]] auto jobs() const -> const std::map<std::string, Job>& {
    return jobs_;
  }

  /// @return ids of the jobs that wait for a placement.
  [[nodiscard]] auto waiting() const -> const std::set<std::string>& {
    return waiting_;
  }
  /// @return ids of the jobs that are placed and have not ended; their members
  ///     may be running or not.
  [[nodiscard]] auto placed() const -> const std::set<std::string>& {
    return placed_;
  }

  /// @return the job, or null.
  [[nodiscard]] auto FindJob(const std::string& id) const -> const Job*;

  /// @return the job of an account's idempotency key, or null.
  [[nodiscard]] auto FindJobByKey(const std::string& account,
                                  const std::string& key) const -> const Job*;

 protected:
  auto ApplyToState(const Record& record) -> ApplyResult override;
  [[nodiscard]] auto StateToJson() const -> core::Json override;
  auto StateFromJson(const core::Json& document) -> void override;

 private:
  auto ApplyTermClaim(const Record& record) -> ApplyResult;
  auto ApplySubmission(const Record& record) -> ApplyResult;
  auto ApplyPlacement(const Record& record) -> ApplyResult;
  auto ApplyRequeue(const Record& record) -> ApplyResult;
  auto ApplyEnd(const Record& record) -> ApplyResult;
  auto ApplyCancellation(const Record& record) -> ApplyResult;

  /// Finds the job of a scheduler's record and validates term and attempt.
  /// @return the job, or null with `result` rejected.
  auto FindValidJob(const Record& record, ApplyResult& result) -> Job*;
  auto ChangeStatus(Job& job, const Record& record, JobStatus status) -> void;
  /// Updates the sets of waiting, placed and ended jobs.
  auto IndexJob(const Job& job) -> void;
  /// Drops the oldest ended jobs beyond the retained count.
  auto DropOldestEnded() -> void;

  Term term_;
  std::map<std::string, Job> jobs_;
  /// Job ids by "account/idempotency key".
  std::map<std::string, std::string> keys_;
  std::set<std::string> waiting_;
  std::set<std::string> placed_;
  /// Ended jobs in the order of their end.
  std::deque<std::string> ended_;
};

}  // namespace kcm::state
