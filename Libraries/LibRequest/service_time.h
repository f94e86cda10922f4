#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::request {

/// Moving average of how long answers take.
class ServiceTime {
 public:
  auto Add(core::Millis span) -> void {
    constexpr double kNewest = 0.1;
    const auto sample = static_cast<double>(span);
    mean_ = samples_ == 0 ? sample : mean_ + kNewest * (sample - mean_);
    ++samples_;
  }

  /// @return the mean in milliseconds; zero before the first sample.
  [[nodiscard]] auto mean() const -> double { return mean_; }
  [[nodiscard]] auto samples() const -> std::int64_t { return samples_; }

 private:
  double mean_ = 0;
  std::int64_t samples_ = 0;
};

}  // namespace kcm::request
