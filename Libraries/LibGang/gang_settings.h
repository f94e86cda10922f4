#pragma once

#include "LibCore/clock.h"

namespace kcm::gang {

/// Timeouts of the gang protocol.
struct GangSettings {
  core::Millis lease_ttl_ms = 5000;
  /// A call without an answer after this time can no longer reach the worker.
  core::Millis call_timeout_ms = 1000;
  /// Time without a report of one member after which its gang is broken: the
  /// whole attempt is stopped.
  core::Millis member_timeout_ms = 3000;
  /// Longest time from a preemption to the expiry of the last lease.
  core::Millis reclaim_bound_ms = 10000;
  /// Time after the claim of a newer term within which the holder of the
  /// earlier one stops renewing leases.
  core::Millis handover_ms = 2000;
};

/// @return time after the last renewal when a lease has certainly expired.
[[nodiscard]] constexpr auto LeaseExpiryMs(const GangSettings& settings)
    -> core::Millis {
  return settings.lease_ttl_ms + settings.call_timeout_ms;
}

}  // namespace kcm::gang
