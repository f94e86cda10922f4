#include "LibRequest/minion_health.h"

#include <algorithm>

namespace kcm::request {

namespace {

constexpr int kMaxConsecutiveFailures = 3;
constexpr double kMaxFailureRate = 0.5;
constexpr int kMinOutcomes = 10;
constexpr double kOutcomeWeight = 0.1;
constexpr double kSlowFactor = 4;
constexpr double kMinSlowMs = 50;
constexpr core::Millis kMinResponseTimeout = 1000;
constexpr double kResponseTimeoutFactor = 5;
constexpr core::Millis kBaseEjectionTime = 2000;
constexpr core::Millis kMaxEjectionTime = 30000;

/// @return service time above which a minion counts as slow.
auto SlowThresholdMs(double median_ms) -> double {
  return std::max(kSlowFactor * median_ms, kMinSlowMs);
}

}  // namespace

auto MinionHealth::RecordSend(core::Millis now) -> void {
  if (in_flight_ == 0) {
    last_response_at_ = now;
  }
  ++in_flight_;
}

auto MinionHealth::RecordEnd(core::Millis now) -> void {
  in_flight_ = std::max(in_flight_ - 1, 0);
  last_response_at_ = now;
}

auto MinionHealth::RecordAnswer(core::Millis now,
                                core::Millis span,
                                double median_ms) -> void {
  RecordEnd(now);
  service_time_.Add(span);
  consecutive_failures_ = 0;
  failure_rate_ -= kOutcomeWeight * failure_rate_;
  ++outcomes_;
  if (!IsEjected() || now < ejected_until_) {
    return;
  }
  if (static_cast<double>(span) > SlowThresholdMs(median_ms)) {
    Eject(now);
  } else {
    // The probe was answered in time: discard the former statistics.
    ejections_ = 0;
    failure_rate_ = 0;
    outcomes_ = 0;
    service_time_ = ServiceTime(kSampleWeight);
    service_time_.Add(span);
  }
}

auto MinionHealth::RecordFailure(core::Millis now) -> void {
  RecordEnd(now);
  ++consecutive_failures_;
  failure_rate_ += kOutcomeWeight * (1 - failure_rate_);
  ++outcomes_;
  if (IsEjected() && now >= ejected_until_) {
    Eject(now);
  }
}

auto MinionHealth::RecordRefusal(core::Millis now) -> void {
  RecordEnd(now);
}

auto MinionHealth::Eject(core::Millis now) -> void {
  constexpr int kMaxDoublings = 4;
  const auto span = kBaseEjectionTime << std::min(ejections_, kMaxDoublings);
  ++ejections_;
  ejected_until_ = now + std::min(span, kMaxEjectionTime);
  consecutive_failures_ = 0;
}

auto MinionHealth::MayProbe(core::Millis now) const -> bool {
  return IsEjected() && now >= ejected_until_ && in_flight_ == 0;
}

auto MinionHealth::IsOutlier(core::Millis now, double median_ms) const -> bool {
  const auto response_timeout =
      std::max(kMinResponseTimeout,
               static_cast<core::Millis>(kResponseTimeoutFactor * median_ms));
  if (in_flight_ > 0 && now - last_response_at_ > response_timeout) {
    return true;
  }
  if (consecutive_failures_ >= kMaxConsecutiveFailures) {
    return true;
  }
  if (outcomes_ < kMinOutcomes) {
    return false;
  }
  return failure_rate_ > kMaxFailureRate ||
         service_time_.mean() > SlowThresholdMs(median_ms);
}

}  // namespace kcm::request
