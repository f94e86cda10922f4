#pragma once

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// One point in time on both clocks of this machine.
struct Moment {
  /// Never goes back and counts time in which the machine was suspended.
  core::Millis steady = 0;
  /// Since the Unix epoch.
  core::Millis wall = 0;
};

}  // namespace kcm::dispatch
