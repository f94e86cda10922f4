#include "LibSchedule/run_time_histogram.h"

#include <algorithm>
#include <cmath>

namespace kcm::schedule {

namespace {

/// Largest ratio in either direction; RunTimeEstimate has the same.
constexpr double kMaxRatio = 100;
/// A lower weight counts as none, which also avoids denormal numbers.
constexpr float kLeastWeight = 1e-6F;

}  // namespace

auto RunTimeHistogram::PositionOf(double ratio) -> double {
  const auto clamped = std::clamp(ratio, 1 / kMaxRatio, kMaxRatio);
  return (std::log(clamped) / std::log(kMaxRatio) + 1) / 2 *
         static_cast<double>(kBins);
}

auto RunTimeHistogram::RatioAt(double position) -> double {
  return std::exp((2 * position / static_cast<double>(kBins) - 1) *
                  std::log(kMaxRatio));
}

auto RunTimeHistogram::Add(double ratio) -> void {
  constexpr auto kKept = static_cast<float>(1 - 1 / kMemory);
  for (auto& weight : weights_) {
    weight = weight < kLeastWeight ? 0 : weight * kKept;
  }
  const auto bin = static_cast<std::size_t>(PositionOf(ratio));
  weights_.at(std::min(bin, kBins - 1)) += 1;
  ++samples_;
}

auto RunTimeHistogram::Mean() const -> double {
  double sum = 0;
  double whole = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    const double weight = weights_.at(bin);
    sum += weight * RatioAt(static_cast<double>(bin) + 0.5);
    whole += weight;
  }
  return whole > 0 ? sum / whole : 0;
}

auto RunTimeHistogram::WeightAbove(double ratio) const -> double {
  const auto position = PositionOf(ratio);
  double above = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    const auto part = static_cast<double>(bin) + 1 - position;
    above += weights_.at(bin) * std::clamp(part, 0.0, 1.0);
  }
  return above;
}

auto RunTimeHistogram::QuantileAbove(double share, double least) const
    -> double {
  auto left = share * WeightAbove(least);
  if (left <= 0) {
    return least;
  }
  const auto first = PositionOf(least);
  double reached = first;
  for (auto bin = static_cast<std::size_t>(first); bin < kBins; ++bin) {
    const auto begin = std::max(first, static_cast<double>(bin));
    const auto width = static_cast<double>(bin) + 1 - begin;
    const auto weight = weights_.at(bin) * width;
    if (weight <= 0) {
      continue;
    }
    reached = begin + width * std::min(left / weight, 1.0);
    left -= weight;
    if (left <= 0) {
      break;
    }
  }
  return std::max(RatioAt(reached), least);
}

}  // namespace kcm::schedule
