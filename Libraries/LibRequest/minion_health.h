#pragma once

#include <cstdint>

#include "LibCore/clock.h"
#include "LibRequest/service_time.h"

namespace kcm::request {

/// Outlier detection for one minion, from the requests of one gateway.
///
/// A minion is ejected after consecutive failures, a high failure rate, no
/// response for long with requests in flight, or a service time far above the
/// median. After an ejection time that doubles with each ejection, one probe
/// at a time is sent; a fast enough answer to it ends the ejection.
class MinionHealth {
 public:
  /// Records that a request was sent.
  auto RecordSend(core::Millis now) -> void;

  /// Records a complete answer.
  /// @param span time since the request was sent.
  /// @param median_ms median service time of all minions.
  auto RecordAnswer(core::Millis now, core::Millis span, double median_ms)
      -> void;

  /// Records a failed, cut or timed-out exchange.
  auto RecordFailure(core::Millis now) -> void;

  /// Records the end of an exchange that does not count for the health.
  auto RecordRefusal(core::Millis now) -> void;

  /// Ejects the minion.
  auto Eject(core::Millis now) -> void;

  /// @return whether the minion may be sent probes only.
  [[nodiscard]] auto IsEjected() const -> bool { return ejections_ > 0; }

  /// @return whether an ejected minion may be sent a probe now.
  [[nodiscard]] auto MayProbe(core::Millis now) const -> bool;

  /// @return whether the minion should be ejected.
  /// @param median_ms median service time of all minions.
  [[nodiscard]] auto IsOutlier(core::Millis now, double median_ms) const
      -> bool;

  [[nodiscard]] auto service_time() const -> const ServiceTime& {
    return service_time_;
  }

 private:
  static constexpr double kSampleWeight = 0.3;

  auto RecordEnd(core::Millis now) -> void;

  /// Weights new samples heavily, so that few requests go to a minion that
  /// has become slow.
  ServiceTime service_time_{kSampleWeight};
  int consecutive_failures_ = 0;
  double failure_rate_ = 0;
  int outcomes_ = 0;
  int in_flight_ = 0;
  core::Millis last_response_at_ = 0;
  int ejections_ = 0;
  core::Millis ejected_until_ = 0;
};

}  // namespace kcm::request
