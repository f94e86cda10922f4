#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace kcm::schedule {

/// Histogram of the logarithm of actual over declared run time, in which each
/// new sample lowers the weight of the earlier ones. 520 bytes.
class RunTimeHistogram {
 public:
  /// Adds a sample.
  /// @param ratio actual over declared run time.
  auto Add(double ratio) -> void;

  /// @return the number of samples ever added.
  [[nodiscard]] auto samples() const -> std::int64_t { return samples_; }

  /// @return the arithmetic mean of the ratios; zero without samples.
  [[nodiscard]] auto Mean() const -> double;

  /// @return the weight of the samples above a ratio; that of the newest sample
  ///     is one, and all together approach kMemory.
  [[nodiscard]] auto WeightAbove(double ratio) const -> double;

  /// @param share of the weight that is between the two ratios, 0 to 1.
  /// @return the quantile of the ratios that are above `least`; `least` if
  /// there
  ///     are none.
  [[nodiscard]] auto QuantileAbove(double share, double least = 0) const
      -> double;

  /// Samples that count, in effect. A tail of 3 in 100 runs must leave some
  /// samples. A queue that changes has a new median after 0.7 times as many.
  static constexpr double kMemory = 100;

 private:
  /// From a hundredth to a hundredfold of the declared time in steps of 7.5%.
  static constexpr std::size_t kBins = 128;

  /// @return the place of a ratio on the scale of bins, 0 to kBins.
  static auto PositionOf(double ratio) -> double;
  static auto RatioAt(double position) -> double;

  std::array<float, kBins> weights_{};
  std::int64_t samples_ = 0;
};

}  // namespace kcm::schedule
