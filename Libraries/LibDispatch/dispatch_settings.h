#pragma once

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Spans that the platform's contract gives.
struct DispatchSettings {
  /// Longest lease that a worker grants.
  core::Millis max_lease_ms = 6000;
  /// A gang breaks when a member is missing for this span.
  core::Millis gang_timeout_ms = 3000;
  /// Guaranteed work starts within this span of its acceptance.
  core::Millis reclaim_ms = 2700;
  /// The state of an ended job can be asked for this long.
  core::Millis status_ms = 120000;
  /// A run saves its progress at least this often, where its step does.
  core::Millis checkpoint_ms = 2000;
};

}  // namespace kcm::dispatch
