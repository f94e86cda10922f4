#include "LibRequest/minion_health.h"

#include <algorithm>

namespace kcm::request {

namespace {

constexpr int kMostFailuresInRow = 3;
constexpr double kMostFailureRate = 0.5;
constexpr int kOutcomesToJudge = 10;
constexpr double kNewestOutcome = 0.1;
constexpr double kSlowFactor = 4;
constexpr double kSlowFloorMs = 50;
constexpr core::Millis kSilence = 1000;
constexpr double kSilenceFactor = 5;
constexpr core::Millis kFirstEjection = 2000;
constexpr core::Millis kLongestEjection = 30000;

/// Least service time that counts as slow.
auto SlowBound(double typical_ms) -> double {
  return std::max(kSlowFactor * typical_ms, kSlowFloorMs);
}

}  // namespace

auto MinionHealth::OnSent(core::Millis now) -> void {
  if (open_ == 0) {
    heard_at_ = now;
  }
  ++open_;
}

auto MinionHealth::OnEnded(core::Millis now) -> void {
  open_ = std::max(open_ - 1, 0);
  heard_at_ = now;
}

auto MinionHealth::OnAnswered(core::Millis now,
                              core::Millis span,
                              double typical_ms) -> void {
  OnEnded(now);
  service_time_.Add(span);
  failures_in_row_ = 0;
  failure_rate_ -= kNewestOutcome * failure_rate_;
  ++outcomes_;
  if (!IsEjected() || now < ejected_until_) {
    return;
  }
  if (static_cast<double>(span) > SlowBound(typical_ms)) {
    Eject(now);
  } else {
    // The probe was answered in time: judge the minion afresh.
    ejections_ = 0;
    failure_rate_ = 0;
    outcomes_ = 0;
    service_time_ = {};
    service_time_.Add(span);
  }
}

auto MinionHealth::OnFailed(core::Millis now) -> void {
  OnEnded(now);
  ++failures_in_row_;
  failure_rate_ += kNewestOutcome * (1 - failure_rate_);
  ++outcomes_;
  if (IsEjected() && now >= ejected_until_) {
    Eject(now);
  }
}

auto MinionHealth::OnRefused(core::Millis now) -> void {
  OnEnded(now);
}

auto MinionHealth::Eject(core::Millis now) -> void {
  constexpr int kMostDoublings = 4;
  const auto span = kFirstEjection << std::min(ejections_, kMostDoublings);
  ++ejections_;
  ejected_until_ = now + std::min(span, kLongestEjection);
  failures_in_row_ = 0;
}

auto MinionHealth::MayProbe(core::Millis now) const -> bool {
  return IsEjected() && now >= ejected_until_ && open_ == 0;
}

auto MinionHealth::IsOutlier(core::Millis now, double typical_ms) const
    -> bool {
  const auto silence = std::max(
      kSilence, static_cast<core::Millis>(kSilenceFactor * typical_ms));
  if (open_ > 0 && now - heard_at_ > silence) {
    return true;
  }
  if (failures_in_row_ >= kMostFailuresInRow) {
    return true;
  }
  if (outcomes_ < kOutcomesToJudge) {
    return false;
  }
  return failure_rate_ > kMostFailureRate ||
         service_time_.mean() > SlowBound(typical_ms);
}

}  // namespace kcm::request
