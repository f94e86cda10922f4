#include "LibMember/peer_table.h"

#include <algorithm>

namespace kcm::member {

auto PeerTable::RecordRunning(core::Millis now) -> void {
  const auto paused = now - EffectiveNow(now);
  for (auto& [peer, heartbeat_at] : heartbeat_at_) {
    heartbeat_at = std::min(heartbeat_at + paused, now);
  }
  running_at_ = now;
}

auto PeerTable::EffectiveNow(core::Millis now) const -> core::Millis {
  const bool paused =
      running_at_ > 0 && now - running_at_ > settings_.pause_after_ms;
  return paused ? running_at_ : now;
}

auto PeerTable::RecordHeartbeat(const std::string& peer, core::Millis now)
    -> bool {
  const bool was_alive = IsAlive(peer, now);
  heartbeat_at_[peer] = now;
  return !was_alive;
}

auto PeerTable::MarkDead(const std::string& peer) -> void {
  heartbeat_at_.erase(peer);
}

auto PeerTable::IsAlive(const std::string& peer, core::Millis now) const
    -> bool {
  const auto found = heartbeat_at_.find(peer);
  return found != heartbeat_at_.end() &&
         EffectiveNow(now) - found->second <= settings_.suspect_after_ms;
}

auto PeerTable::AlivePeers(core::Millis now) const -> std::vector<std::string> {
  std::vector<std::string> alive;
  for (const auto& [peer, heartbeat_at] : heartbeat_at_) {
    if (EffectiveNow(now) - heartbeat_at <= settings_.suspect_after_ms) {
      alive.push_back(peer);
    }
  }
  return alive;
}

}  // namespace kcm::member
