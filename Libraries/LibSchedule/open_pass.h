#pragma once

#include <set>
#include <string>
#include <utility>

#include "LibSchedule/planner_state.h"

namespace kcm::schedule {

/// Starts jobs beyond guarantees: urgent ones first, then by weighted
/// dominant share.
class OpenPass {
 public:
  /// A class of one account that found no room in this pass.
  using Blocked = std::set<std::pair<std::string, JobClass>>;

  explicit OpenPass(PlannerState& state) : state_(&state) {}

  auto RunUrgent() -> void;
  auto RunFair() -> void;

  /// @return classes that wait for room and for nothing else.
  [[nodiscard]] auto blocked() const -> const Blocked& { return blocked_; }

 private:
  struct Head {
    std::string account;
    JobClass job_class;
    std::string job;
    core::Millis rank = 0;
  };

  /// @return the best job of the account that is not passed over.
  [[nodiscard]] auto HeadOf(const std::string& account,
                            const WaitingQueue::Classes& classes,
                            bool urgent_only) const -> Head;
  [[nodiscard]] auto NextByShare() const -> Head;
  auto Try(const Head& head) -> bool;
  auto PreemptFor(const WaitingJob& job) -> bool;

  PlannerState* state_;
  Blocked blocked_;
  /// Classes that a limit holds back.
  Blocked limited_;
  /// Shapes and standings that found no room, for all accounts.
  std::set<std::pair<JobClass, Standing>> no_room_;
};

}  // namespace kcm::schedule
