#pragma once

#include "LibCore/clock.h"
#include "LibDispatch/job_spec.h"

namespace kcm::dispatch {

/// What decides how long tasks wait for the rack that they prefer while they
/// fit elsewhere.
struct RackWait {
  /// Expected run time in that rack.
  core::Millis run_ms = 0;
  /// How many times as long the tasks take elsewhere.
  double remote_factor = 1;
  /// Less than half of the fleet is in use and the tasks fit twice over
  /// elsewhere, so that nobody else needs what a slower run takes.
  bool has_ample_room = false;
};

/// @return whether the tasks of a step are slower outside of one rack.
[[nodiscard]] auto PrefersRack(const StepSpec& step) -> bool;

/// @return the step without its preference.
[[nodiscard]] auto WithoutRack(StepSpec step) -> StepSpec;

/// The wait is worth at most what the rack saves: who has waited that long may
/// as well have run elsewhere from the start. Beside ample room it is short, as
/// when the rack opens is a guess.
/// @return the longest wait, from when the tasks first fitted elsewhere.
[[nodiscard]] auto LongestRackWaitMs(const RackWait& wait) -> core::Millis;

}  // namespace kcm::dispatch
