#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "LibSchedule/waiting_job.h"

namespace kcm::schedule {

/// Waiting jobs by account and class, so that a class that does not fit is
/// skipped at once, however many of its jobs wait.
class WaitingQueue {
 public:
  /// Ranks and ids of the jobs of one class.
  using Ranked = std::set<std::pair<core::Millis, std::string>>;
  using Classes = std::map<JobClass, Ranked>;

  auto Insert(WaitingJob job) -> void;
  /// @return whether the job was in the queue.
  auto Erase(const std::string& id) -> bool;

  [[nodiscard]] auto Find(const std::string& id) -> WaitingJob*;
  [[nodiscard]] auto Find(const std::string& id) const -> const WaitingJob*;

  [[nodiscard]] auto accounts() const -> const std::map<std::string, Classes>& {
    return accounts_;
  }
  [[nodiscard]] auto size() const -> std::size_t { return jobs_.size(); }

 private:
  std::unordered_map<std::string, WaitingJob> jobs_;
  std::map<std::string, Classes> accounts_;
};

}  // namespace kcm::schedule
