#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kcm::schedule {

/// Distinguishes bad workers from jobs that fail everywhere.
class FailureTracker {
 public:
  /// A worker whose jobs of several accounts failed, or a job that failed on
  /// several healthy workers.
  struct Finding {
    std::string bad_worker;
    std::string bad_job;
  };

  /// Records one failed attempt.
  /// @return what is bad now; names are empty while the evidence is too weak.
  [[nodiscard]] auto RecordFailure(const std::string& job,
                                   const std::string& account,
                                   const std::string& worker) -> Finding;

  /// @return workers on which attempts of the job failed.
  [[nodiscard]] auto WorkersFailedOn(const std::string& job) const
      -> const std::set<std::string>&;

  /// Clears the failures of a worker on which a job succeeded.
  auto RecordSuccess(const std::string& worker) -> void {
    ForgetWorker(worker);
  }

  /// Records that a job succeeded after it had failed on other workers.
  /// @return workers on which enough such jobs had failed, whatever accounts
  ///     the jobs belong to.
  [[nodiscard]] auto RecordSuccessElsewhere(const std::string& job)
      -> std::vector<std::string>;

  auto ForgetJob(const std::string& job) -> void {
    jobs_.erase(job);
    attempts_.erase(job);
  }

  /// Drops the failures of a worker that was put back into service.
  auto ForgetWorker(const std::string& worker) -> void {
    workers_.erase(worker);
    succeeded_elsewhere_.erase(worker);
  }

 private:
  /// Accounts by id of the failed job.
  using Failures = std::map<std::string, std::string>;

  [[nodiscard]] auto IsBad(const std::string& worker) const -> bool;

  std::unordered_map<std::string, Failures> workers_;
  /// Jobs that failed on a worker and succeeded on others, by worker.
  std::unordered_map<std::string, std::size_t> succeeded_elsewhere_;
  std::unordered_map<std::string, std::set<std::string>> jobs_;
  /// Failed attempts by job.
  std::unordered_map<std::string, int> attempts_;
};

}  // namespace kcm::schedule
