#include "LibMember/peer_table.h"

#include <algorithm>

namespace kcm::member {

auto PeerTable::Tick(core::Millis now) -> void {
  const auto paused = now - RunningTime(now);
  for (auto& [peer, heard] : last_heard_) {
    heard = std::min(heard + paused, now);
  }
  last_tick_ = now;
}

auto PeerTable::RunningTime(core::Millis now) const -> core::Millis {
  const bool paused =
      last_tick_ > 0 && now - last_tick_ > settings_.pause_after;
  return paused ? last_tick_ : now;
}

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
         RunningTime(now) - found->second <= settings_.suspect_after;
}

auto PeerTable::Alive(core::Millis now) const -> std::vector<std::string> {
  std::vector<std::string> alive;
  for (const auto& [peer, heard] : last_heard_) {
    if (RunningTime(now) - heard <= settings_.suspect_after) {
      alive.push_back(peer);
    }
  }
  return alive;
}

}  // namespace kcm::member
