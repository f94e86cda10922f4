#include "LibMember/peer_table.h"

namespace kcm::member {

auto PeerTable::Heard(const std::string& peer, core::Millis now) -> bool {
  const bool was_alive = IsAlive(peer, now);
  last_heard_[peer] = now;
  return !was_alive;
}

auto PeerTable::Forget(const std::string& peer) -> void {
  last_heard_.erase(peer);
}

auto PeerTable::IsAlive(const std::string& peer, core::Millis now) const
    -> bool {
  const auto found = last_heard_.find(peer);
  return found != last_heard_.end() &&
         now - found->second <= settings_.suspect_after;
}

auto PeerTable::Alive(core::Millis now) const -> std::vector<std::string> {
  std::vector<std::string> alive;
  for (const auto& [peer, heard] : last_heard_) {
    if (now - heard <= settings_.suspect_after) {
      alive.push_back(peer);
    }
  }
  return alive;
}

}  // namespace kcm::member
