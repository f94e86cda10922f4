#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "LibState/fold.h"
#include "LibState/job.h"

namespace kcm::state {

/// Who schedules a data centre.
struct Term {
  std::int64_t number = 0;
  std::string holder;

  auto operator==(const Term&) const -> bool = default;
};

KCM_JSON(Term, number, holder)

/// The jobs of one data centre and the term of its scheduler.
class CellFold final : public Fold {
 public:
  [[nodiscard]] auto term() const -> const Term& { return term_; }
  /// @return jobs by id, ended ones among them.
  [[nodiscard]] auto jobs() const -> const std::map<std::string, Job>& {
    return jobs_;
  }

  /// @return ids of the jobs that wait for a placement.
  [[nodiscard]] auto waiting() const -> const std::set<std::string>& {
    return waiting_;
  }
  /// @return ids of the jobs whose gang is placed.
  [[nodiscard]] auto placed() const -> const std::set<std::string>& {
    return placed_;
  }

  /// @return the job, or null.
  [[nodiscard]] auto FindJob(const std::string& id) const -> const Job*;

  /// @return the job of an account's idempotency key, or null.
  [[nodiscard]] auto FindKey(const std::string& account,
                             const std::string& key) const -> const Job*;

 protected:
  auto Decide(const Record& record) -> Verdict override;
  [[nodiscard]] auto StateToJson() const -> core::Json override;
  auto StateFromJson(const core::Json& document) -> void override;

 private:
  auto DecideTerm(const Record& record) -> Verdict;
  auto DecideSubmitted(const Record& record) -> Verdict;
  auto DecidePlaced(const Record& record) -> Verdict;
  auto DecideRequeued(const Record& record) -> Verdict;
  auto DecideEnded(const Record& record) -> Verdict;
  auto DecideCancelled(const Record& record) -> Verdict;

  /// Finds the job of a scheduler's record and checks term and attempt.
  /// @return the job, or null with `verdict` rejected.
  auto FindCurrent(const Record& record, Verdict& verdict) -> Job*;
  auto Change(Job& job, const Record& record, JobStatus status) -> void;
  /// Keeps the sets of waiting, placed and ended jobs.
  auto Index(const Job& job) -> void;
  /// Drops the oldest ended jobs beyond the retained count.
  auto DropEnded() -> void;

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
