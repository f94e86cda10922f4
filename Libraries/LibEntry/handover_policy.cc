#include "LibEntry/handover_policy.h"

#include <algorithm>

namespace kcm::entry {

namespace {

using core::Millis;

/// Time in which all live peers have sent a heartbeat to a new holder.
constexpr Millis kMinHeldMs = 2000;
/// By then a new holder has read the fleet and taken over all runs.
constexpr Millis kMinHeldWhenBusyMs = 10000;
constexpr Millis kPauseMs = 60000;

}  // namespace

auto HandoverPolicy::ShouldResign(const Candidate& self,
                                  const std::vector<Candidate>& live_peers,
                                  Millis held_for,
                                  bool is_idle,
                                  Millis now) const -> bool {
  if (held_for < (is_idle ? kMinHeldMs : kMinHeldWhenBusyMs) ||
      (resigned_at_ && now - *resigned_at_ < kPauseMs)) {
    return false;
  }
  return std::any_of(live_peers.begin(), live_peers.end(),
                     [&](const Candidate& peer) {
                       return HasClearlyMoreCapacity(peer, self) &&
                              (!peer.is_store_remote || self.is_store_remote);
                     });
}

}  // namespace kcm::entry
