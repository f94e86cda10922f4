#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::request {

/// Exponential moving average of service times.
class ServiceTime {
 public:
  /// @param sample_weight weight of each new sample, from 0 to 1.
  explicit ServiceTime(double sample_weight = 0.1)
      : sample_weight_(sample_weight) {}

  auto Add(core::Millis span) -> void {
    const auto sample = static_cast<double>(span);
    mean_ = samples_ == 0 ? sample : mean_ + sample_weight_ * (sample - mean_);
    ++samples_;
  }

  /// @return the mean in milliseconds; zero before the first sample.
  [[nodiscard]] auto mean() const -> double { return mean_; }
  [[nodiscard]] auto samples() const -> std::int64_t { return samples_; }

 private:
  double sample_weight_;
  double mean_ = 0;
  std::int64_t samples_ = 0;
};

}  // namespace kcm::request
