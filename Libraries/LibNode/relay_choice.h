#pragma once

#include <string>
#include <vector>

#include "LibNode/log_follower.h"
#include "LibNode/node.h"

namespace kcm::node {

/// Selects relays for a gateway or scheduler: the one on its own VM, and the
/// next one each time the current one does not confirm: first those of the
/// region, then those of other regions.
[[nodiscard]] auto MakeRelaySelector(const Node& node)
    -> LogFollower::RelaySelector;

}  // namespace kcm::node
