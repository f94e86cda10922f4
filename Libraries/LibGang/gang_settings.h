#pragma once

#include "LibCore/clock.h"

namespace kcm::gang {

/// Spans of the gang protocol.
struct GangSettings {
  core::Millis lease_ttl_ms = 5000;
  /// A call that a worker did not answer within this span reaches it no more.
  core::Millis call_timeout_ms = 1000;
  /// Silence of one member after which its gang counts as broken.
  core::Millis member_silence_ms = 3000;
  /// Bound from a preemption to the last lapsed lease.
  core::Millis reclaim_bound_ms = 10000;
  /// A former holder stops renewing within this span after a newer claim.
  core::Millis handover_ms = 2000;
};

/// @return span after the last renewal at which a lease has surely lapsed.
[[nodiscard]] constexpr auto LapseSpan(const GangSettings& settings)
    -> core::Millis {
  return settings.lease_ttl_ms + settings.call_timeout_ms;
}

}  // namespace kcm::gang
