#pragma once

#include <string>
#include <vector>

#include "LibNode/log_follower.h"
#include "LibNode/node.h"

namespace kcm::node {

/// Chooses relays for a gateway or scheduler: the one on its own VM, and the
/// next one each time the present one is silent or not ready: those of the
/// region first, then those of other regions.
[[nodiscard]] auto PreferOwnRelay(const Node& node) -> LogFollower::Choose;

}  // namespace kcm::node
