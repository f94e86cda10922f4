#include "LibEntry/claim_order.h"

#include <algorithm>

#include "LibCore/stable_hash.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// Claims of processes that know no other one are spread over this time.
constexpr Millis kClaimSpreadMs = 200;
/// Time in which a claim is decided and announced, round trips included.
constexpr Millis kRankDelayMs = 40;
/// Processes of this rank and above claim in no order, by a hash: by then,
/// those before them have probably failed with the holder.
constexpr Millis kMaxRank = 5;
/// Time over which these claims are spread, for each of them, so that one is
/// decided before many others are made.
constexpr Millis kUnorderedSpreadMs = 3;
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

auto ClaimsBefore(const Candidate& left, const Candidate& right) -> bool {
  if (left.is_store_remote != right.is_store_remote) {
    return right.is_store_remote;
  }
  if (left.cpu_capacity != right.cpu_capacity) {
    return left.cpu_capacity > right.cpu_capacity;
  }
  return core::StableHash(left.address) < core::StableHash(right.address);
}

auto ClaimSpread(const Candidate& self,
                 const std::vector<Candidate>& live_peers) -> Millis {
  const auto hash = core::StableHash(self.address);
  if (live_peers.empty()) {
    return static_cast<Millis>(hash % kClaimSpreadMs);
  }
  const auto rank = std::count_if(
      live_peers.begin(), live_peers.end(), [&](const Candidate& peer) {
        return peer.is_store_remote == self.is_store_remote &&
               ClaimsBefore(peer, self);
      });
  if (rank < kMaxRank) {
    return rank * kRankDelayMs + static_cast<Millis>(hash % kRankDelayMs);
  }
  const auto spread =
      std::max(kRankDelayMs,
               kUnorderedSpreadMs * static_cast<Millis>(live_peers.size()));
  return kMaxRank * kRankDelayMs +
         static_cast<Millis>(hash % static_cast<std::uint64_t>(spread));
}

auto ClaimDelay(const Candidate& self,
                const std::vector<Candidate>& live_peers,
                double holder_capacity) -> Millis {
  const auto is_outclassed =
      HasClearlyMoreCapacity({"", holder_capacity, false}, self) ||
      std::any_of(live_peers.begin(), live_peers.end(),
                  [&](const Candidate& peer) {
                    return HasClearlyMoreCapacity(peer, self) &&
                           (!peer.is_store_remote || self.is_store_remote);
                  });
  return ClaimSpread(self, live_peers) +
         (is_outclassed ? kLessCapacityDelayMs : 0) +
         (self.is_store_remote ? kRemoteRegionDelayMs : 0);
}

}  // namespace kcm::entry
