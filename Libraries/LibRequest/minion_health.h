#pragma once

#include <cstdint>

#include "LibCore/clock.h"
#include "LibRequest/service_time.h"

namespace kcm::request {

/// What one gateway has seen of a minion lately.
///
/// A minion is ejected after failures in a row, a high rate of failures, a
/// long silence with requests open, or answers much slower than the others'.
/// After a span that doubles with each ejection one probe at a time is sent;
/// an answer to it ends the ejection.
class MinionHealth {
 public:
  /// Notes that a request was sent.
  auto OnSent(core::Millis now) -> void;

  /// Notes a whole answer.
  /// @param span time since the request was sent.
  /// @param typical_ms service time of the other minions.
  auto OnAnswered(core::Millis now, core::Millis span, double typical_ms)
      -> void;

  /// Notes a failed, cut or timed-out exchange.
  auto OnFailed(core::Millis now) -> void;

  /// Notes the end of an exchange that says nothing about health.
  auto OnRefused(core::Millis now) -> void;

  /// Ejects the minion.
  auto Eject(core::Millis now) -> void;

  /// @return whether the minion should take no ordinary request.
  [[nodiscard]] auto IsEjected() const -> bool { return ejections_ > 0; }

  /// @return whether an ejected minion may be sent a probe now.
  [[nodiscard]] auto MayProbe(core::Millis now) const -> bool;

  /// @return whether the minion should be ejected.
  /// @param typical_ms service time of the other minions.
  [[nodiscard]] auto IsOutlier(core::Millis now, double typical_ms) const
      -> bool;

  [[nodiscard]] auto service_time() const -> const ServiceTime& {
    return service_time_;
  }

 private:
  auto OnEnded(core::Millis now) -> void;

  ServiceTime service_time_;
  int failures_in_row_ = 0;
  double failure_rate_ = 0;
  int outcomes_ = 0;
  int open_ = 0;
  core::Millis heard_at_ = 0;
  int ejections_ = 0;
  core::Millis ejected_until_ = 0;
};

}  // namespace kcm::request
