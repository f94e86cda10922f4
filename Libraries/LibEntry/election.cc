#include "LibEntry/election.h"

namespace kcm::entry {

auto Election::IsVacant(const HolderBelief& belief, core::Millis now) const
    -> bool {
  if (belief.epoch == 0 || belief.resigned) {
    return true;
  }
  if (now - belief.heard_at > settings_.holder_silence_ms) {
    return true;
  }
  return belief.storeless_since &&
         now - *belief.storeless_since > settings_.storeless_ms;
}

auto Election::Decide(const HolderBelief& belief,
                      core::Millis peer_heard_at,
                      bool has_peers,
                      core::Millis now) -> std::optional<ClaimPlan> {
  if (!IsVacant(belief, now)) {
    vacant_since_.reset();
    return std::nullopt;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  if (now < blocked_until_ || now - *vacant_since_ < rank_) {
    return std::nullopt;
  }
  const auto is_isolated =
      has_peers && now - peer_heard_at > settings_.holder_silence_ms;
  return ClaimPlan{is_isolated ? settings_.isolated_watch_ms : 0};
}

}  // namespace kcm::entry
