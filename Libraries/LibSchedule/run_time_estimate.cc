#include "LibSchedule/run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace kcm::schedule {

namespace {

/// Weight of the newest sample in the moving mean.
constexpr double kNewestWeight = 0.1;
/// Largest correction in either direction.
constexpr double kMaxRatio = 100;
/// Run time assumed for a job that declares none.
constexpr core::Millis kDefaultRunTimeMs = 600000;

}  // namespace

auto RunTimeEstimate::RecordRunTime(const std::string& account,
                                    core::Millis declared,
                                    core::Millis actual) -> void {
  if (declared <= 0 || actual <= 0) {
    return;
  }
  const auto ratio =
      static_cast<double>(actual) / static_cast<double>(declared);
  const auto sample = std::log(std::clamp(ratio, 1 / kMaxRatio, kMaxRatio));
  const auto [found, first] = log_ratio_.try_emplace(account, sample);
  if (!first) {
    found->second += kNewestWeight * (sample - found->second);
  }
}

auto RunTimeEstimate::Correction(const std::string& account) const -> double {
  const auto found = log_ratio_.find(account);
  return found == log_ratio_.end() ? 1 : std::exp(found->second);
}

auto RunTimeEstimate::ExpectedRunTime(const std::string& account,
                                      core::Millis declared) const
    -> core::Millis {
  const auto base = declared > 0 ? declared : kDefaultRunTimeMs;
  return static_cast<core::Millis>(static_cast<double>(base) *
                                   Correction(account));
}

}  // namespace kcm::schedule
