#include "LibEntry/claim_order.h"

#include <algorithm>

#include "LibCore/stable_hash.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// Claims of equally suited processes are spread over this time.
constexpr Millis kClaimSpreadMs = 200;
/// A process with a far better equipped peer claims this much later: one
/// heartbeat, by which processes can differ in when they find a holder lost.
constexpr Millis kLessCapacityDelayMs = 300;
/// A process in another region than the store claims this much later, because
/// each of its appends would cross between regions.
constexpr Millis kRemoteRegionDelayMs = 500;
/// Ratio of capacities from which on a change of the holder is worth its cost.
constexpr double kClearRatio = 2;

}  // namespace

auto HasClearlyMoreCapacity(const Candidate& candidate, const Candidate& other)
    -> bool {
  return other.cpu_capacity > 0 &&
         candidate.cpu_capacity >= kClearRatio * other.cpu_capacity;
}

auto ClaimDelay(const Candidate& self, const std::vector<Candidate>& live_peers)
    -> Millis {
  const auto is_outclassed = std::any_of(
      live_peers.begin(), live_peers.end(), [&](const Candidate& peer) {
        return HasClearlyMoreCapacity(peer, self) &&
               (!peer.is_store_remote || self.is_store_remote);
      });
  const auto spread =
      static_cast<Millis>(core::StableHash(self.address) % kClaimSpreadMs);
  return spread + (is_outclassed ? kLessCapacityDelayMs : 0) +
         (self.is_store_remote ? kRemoteRegionDelayMs : 0);
}

}  // namespace kcm::entry
