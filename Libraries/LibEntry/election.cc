#include "LibEntry/election.h"

namespace kcm::entry {

auto Election::IsVacant(const HolderView& holder, core::Millis now) const
    -> bool {
  if (holder.epoch == 0 || holder.resigned) {
    return true;
  }
  if (now - holder.last_contact_at > settings_.holder_timeout_ms) {
    return true;
  }
  return holder.store_outage_since &&
         now - *holder.store_outage_since > settings_.store_outage_ms;
}

auto Election::PlanClaim(const HolderView& holder,
                         core::Millis last_peer_contact_at,
                         bool has_peers,
                         core::Millis now) -> std::optional<ClaimPlan> {
  if (!IsVacant(holder, now)) {
    vacant_since_.reset();
    store_was_away_ = false;
    return std::nullopt;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  if (now < blocked_until_ || now - *vacant_since_ < claim_delay_) {
    return std::nullopt;
  }
  const auto is_isolated =
      has_peers && now - last_peer_contact_at > settings_.holder_timeout_ms;
  return ClaimPlan{is_isolated       ? settings_.isolated_watch_ms
                   : store_was_away_ ? settings_.outage_watch_ms
                                     : 0};
}

}  // namespace kcm::entry
