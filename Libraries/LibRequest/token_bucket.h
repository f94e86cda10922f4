#pragma once

#include <algorithm>

#include "LibCore/clock.h"

namespace kcm::request {

/// Tokens that flow in at a rate and are taken by uses; the caller brings the
/// clock, the rate and the depth, which may change at any time.
class TokenBucket {
 public:
  /// Adds what has flowed in since the last call.
  /// @param rate tokens a second.
  /// @param depth most tokens that can be saved up.
  auto Refill(double rate, double depth, core::Millis now) -> void {
    constexpr double kMillisPerSecond = 1000;
    if (last_ < 0) {
      tokens_ = depth;
    } else {
      tokens_ += rate * static_cast<double>(now - last_) / kMillisPerSecond;
    }
    tokens_ = std::min(tokens_, depth);
    last_ = now;
  }

  /// Takes tokens, or none when there are too few.
  [[nodiscard]] auto Take(double count) -> bool {
    if (tokens_ < count) {
      return false;
    }
    tokens_ -= count;
    return true;
  }

  /// Takes tokens that were used already; the bucket may go into debt.
  auto Spend(double count) -> void { tokens_ -= count; }

  [[nodiscard]] auto tokens() const -> double { return tokens_; }

 private:
  double tokens_ = 0;
  core::Millis last_ = -1;
};

}  // namespace kcm::request
