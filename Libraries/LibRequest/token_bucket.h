#pragma once

#include <algorithm>

#include "LibCore/clock.h"

namespace kcm::request {

/// Token bucket. The caller passes the time, the rate and the capacity, which
/// may change at any time. It starts full.
class TokenBucket {
 public:
  /// Adds the tokens that accrued since the last call.
  /// @param rate tokens per second.
  /// @param capacity maximum number of tokens held.
  auto Refill(double rate, double capacity, core::Millis now) -> void {
    constexpr double kMillisPerSecond = 1000;
    if (last_refill_at_ < 0) {
      tokens_ = capacity;
    } else {
      tokens_ +=
          rate * static_cast<double>(now - last_refill_at_) / kMillisPerSecond;
    }
    tokens_ = std::min(tokens_, capacity);
    last_refill_at_ = now;
  }

  /// Consumes tokens, or none if there are too few.
  [[nodiscard]] auto TryConsume(double count) -> bool {
    if (tokens_ < count) {
      return false;
    }
    tokens_ -= count;
    return true;
  }

  /// Consumes tokens of a past use; the balance may become negative.
  auto Charge(double count) -> void { tokens_ -= count; }

  [[nodiscard]] auto tokens() const -> double { return tokens_; }

 private:
  double tokens_ = 0;
  core::Millis last_refill_at_ = -1;
};

}  // namespace kcm::request
