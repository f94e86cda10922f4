#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kcm::schedule {

/// Tells workers that fail everything from jobs that fail everywhere.
class FailureTracker {
 public:
  /// A worker whose jobs of several accounts failed, or a job that failed on
  /// several healthy workers.
  struct Finding {
    std::string bad_worker;
    std::string bad_job;
  };

  /// Counts one failure.
  /// @return what it proves, with empty names when it proves nothing.
  [[nodiscard]] auto Failed(const std::string& job,
                            const std::string& account,
                            const std::string& worker) -> Finding;

  /// @return workers on which the job failed.
  [[nodiscard]] auto TriedBy(const std::string& job) const
      -> const std::set<std::string>&;

  /// A job ran well on a worker; clears the worker of earlier failures.
  auto Succeeded(const std::string& worker) -> void { ForgetWorker(worker); }

  /// A job that had failed before ran to its end on other workers.
  /// @return workers on which enough such jobs had failed, whatever accounts
  ///     the jobs belong to.
  [[nodiscard]] auto ProvenBadBy(const std::string& job)
      -> std::vector<std::string>;

  /// Forgets a job that will not run again.
  auto ForgetJob(const std::string& job) -> void {
    jobs_.erase(job);
    attempts_.erase(job);
  }

  /// Forgets the failures of a worker that was put back into service.
  auto ForgetWorker(const std::string& worker) -> void {
    workers_.erase(worker);
    proven_.erase(worker);
  }

 private:
  /// Accounts by failed job.
  using Failures = std::map<std::string, std::string>;

  [[nodiscard]] auto IsBad(const std::string& worker) const -> bool;

  std::unordered_map<std::string, Failures> workers_;
  /// Jobs that failed on a worker and ended well on others, by worker.
  std::unordered_map<std::string, std::size_t> proven_;
  std::unordered_map<std::string, std::set<std::string>> jobs_;
  /// Failed attempts by job.
  std::unordered_map<std::string, int> attempts_;
};

}  // namespace kcm::schedule
