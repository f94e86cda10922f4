#pragma once

#include <algorithm>

namespace kcm::request {

/// Bounds retries to a fraction of the first attempts, so that a failure of
/// everything adds little load.
class RetryBudget {
 public:
  /// Notes a first attempt.
  auto OnFirstAttempt() -> void {
    saved_ = std::min(saved_ + kRetriesPerAttempt, kMostSaved);
  }

  /// @return whether one retry may be sent; it is then paid for.
  [[nodiscard]] auto TakeRetry() -> bool {
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  static constexpr double kRetriesPerAttempt = 0.1;
  static constexpr double kMostSaved = 10;

  double saved_ = kMostSaved;
};

}  // namespace kcm::request
