#pragma once

#include <set>
#include <string>
#include <utility>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Starts jobs beyond guarantees: urgent ones first, then by weighted
/// dominant share.
class UnguaranteedPass {
 public:
  /// Classes of jobs, by account, that did not fit in this pass.
  using Blocked = std::set<std::pair<std::string, JobClass>>;

  explicit UnguaranteedPass(PlannerState& state) : state_(&state) {}

  auto RunUrgent() -> void;
  auto RunFair() -> void;

  /// @return classes that wait for capacity only, not for a limit.
  [[nodiscard]] auto blocked() const -> const Blocked& { return blocked_; }

 private:
  struct Head {
    std::string account;
    JobClass job_class;
    std::string job;
    core::Millis rank = 0;
  };

  /// @return the first job of a class that may start; an empty id for none.
  [[nodiscard]] auto HeadOf(const std::string& account,
                            const WaitingQueue::Classes& classes,
                            bool urgent_only) const -> Head;
  [[nodiscard]] auto NextByShare() const -> Head;
  auto TryStart(const Head& head) -> bool;
  auto PreemptFor(const WaitingJob& job) -> bool;

  PlannerState* state_;
  Blocked blocked_;
  /// Classes whose next job would exceed a limit of the account.
  Blocked over_limit_;
  /// Job classes that fit nowhere, for all accounts.
  std::set<std::pair<JobClass, AllocationClass>> no_capacity_;
};

}  // namespace kcm::schedule
