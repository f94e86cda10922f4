#include "LibNode/relay_choice.h"

#include <algorithm>

namespace kcm::node {

namespace {

constexpr core::Millis kRelayTimeoutMs = 1000;

}  // namespace

auto MakeRelaySelector(const Node& node) -> LogFollower::RelaySelector {
  std::vector<std::string> relays = {
      BusNameOf(node.settings().name, Role::kRelay)};
  for (auto& peer : node.PeersOf(Role::kRelay, node.settings().region)) {
    relays.push_back(std::move(peer));
  }
  for (auto& peer : node.PeersOf(Role::kRelay, "")) {
    if (std::find(relays.begin(), relays.end(), peer) == relays.end()) {
      relays.push_back(std::move(peer));
    }
  }
  return [relays, index = std::size_t{0}](core::Millis silent) mutable {
    if (silent > kRelayTimeoutMs) {
      index = (index + 1) % relays.size();
    }
    return relays[index];
  };
}

}  // namespace kcm::node
