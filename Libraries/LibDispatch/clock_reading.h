#pragma once

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// A point in time on both clocks of this machine.
struct ClockReading {
  /// Monotonic; includes time in which the machine was suspended.
  core::Millis steady = 0;
  /// Since the Unix epoch.
  core::Millis wall = 0;
};

}  // namespace kcm::dispatch
