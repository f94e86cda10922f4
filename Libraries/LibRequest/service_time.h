#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::request {

/// Moving average of how long answers take.
class ServiceTime {
 public:
  /// @param newest weight of the newest sample, from 0 to 1.
  explicit ServiceTime(double newest = 0.1) : newest_(newest) {}

  auto Add(core::Millis span) -> void {
    const auto sample = static_cast<double>(span);
    mean_ = samples_ == 0 ? sample : mean_ + newest_ * (sample - mean_);
    ++samples_;
  }

  /// @return the mean in milliseconds; zero before the first sample.
  [[nodiscard]] auto mean() const -> double { return mean_; }
  [[nodiscard]] auto samples() const -> std::int64_t { return samples_; }

 private:
  double newest_;
  double mean_ = 0;
  std::int64_t samples_ = 0;
};

}  // namespace kcm::request
