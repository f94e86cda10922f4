#pragma once

#include <algorithm>

namespace kcm::request {

/// Limits retries to a fraction of the first attempts, so that retries add
/// little load when all minions fail.
class RetryBudget {
 public:
  /// Records a first attempt.
  auto RecordFirstAttempt() -> void {
    tokens_ = std::min(tokens_ + kTokensPerAttempt, kMaxTokens);
  }

  /// @return whether one retry may be sent; if so, its token is consumed.
  [[nodiscard]] auto TryAcquireRetry() -> bool {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kTokensPerAttempt = 0.1;
  static constexpr double kMaxTokens = 10;

  double tokens_ = kMaxTokens;
};

}  // namespace kcm::request
