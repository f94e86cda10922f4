#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibMember/peer_table.h"
#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/heartbeat.h"

namespace kcm::node {

/// Exchanges heartbeats with peers and tracks which of them are alive.
class Heartbeats {
 public:
  Heartbeats(net::EventLoop& loop,
             net::Bus& bus,
             std::vector<std::string> peers);

  /// @return whether a peer sent a heartbeat recently; true for this process
  ///     until it sends that it is leaving.
  [[nodiscard]] auto IsAlive(const std::string& peer) const -> bool;

  /// @return the names of the live peers, without this process.
  [[nodiscard]] auto AlivePeers() const -> std::vector<std::string>;

  /// @return the last heartbeat of a peer; a default one if there was none.
  [[nodiscard]] auto LastHeartbeatOf(const std::string& peer) const
      -> Heartbeat;

  /// Sets the state in this process's heartbeats; a change is sent at once.
  auto SetStatus(bool ready, bool reachable) -> void;

  /// Sends a heartbeat at once that marks this process as leaving.
  auto AnnounceLeaving() -> void;

 private:
  auto SendHeartbeats() -> void;

  net::Bus& bus_;
  std::vector<std::string> peers_;
  member::PeerTable table_;
  std::vector<std::string> last_alive_;
  std::map<std::string, Heartbeat> last_heartbeats_;
  Heartbeat own_;
};

}  // namespace kcm::node
