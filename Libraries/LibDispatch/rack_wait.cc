#include "LibDispatch/rack_wait.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

/// Half of the time for which our users let a task idle beside room for it.
constexpr core::Millis kWaitBesideRoomMs = 1500;

}  // namespace

auto PrefersRack(const StepSpec& step) -> bool {
  return step.same_rack || !step.data_rack.empty();
}

auto WithoutRack(StepSpec step) -> StepSpec {
  step.same_rack = false;
  step.data_rack.clear();
  return step;
}

auto LongestRackWaitMs(const RackWait& wait) -> core::Millis {
  const auto saved = static_cast<core::Millis>(
      std::max(wait.remote_factor - 1, 0.0) * static_cast<double>(wait.run_ms));
  return wait.has_ample_room ? std::min(saved, kWaitBesideRoomMs) : saved;
}

}  // namespace kcm::dispatch
