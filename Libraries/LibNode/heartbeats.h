#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibMember/peer_table.h"
#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/heartbeat.h"

namespace kcm::node {

/// Exchanges heartbeats with peers and knows who is alive.
class Heartbeats {
 public:
  Heartbeats(net::EventLoop& loop,
             net::Bus& bus,
             std::vector<std::string> peers);

  /// @return whether a peer was heard lately; a process is alive to itself.
  [[nodiscard]] auto IsAlive(const std::string& peer) const -> bool;

  /// @return the names of the peers alive now, this process left out.
  [[nodiscard]] auto Alive() const -> std::vector<std::string>;

  /// @return what a peer said last; defaults for one never heard.
  [[nodiscard]] auto SaidBy(const std::string& peer) const -> Heartbeat;

  /// Changes what this process says of itself; a change is told at once.
  auto Say(bool ready, bool reachable) -> void;

  /// Tells the peers at once that this process is leaving.
  auto SayLeaving() -> void;

 private:
  auto Beat() -> void;

  net::Bus& bus_;
  std::vector<std::string> peers_;
  member::PeerTable table_;
  std::vector<std::string> known_alive_;
  std::map<std::string, Heartbeat> said_;
  Heartbeat own_;
};

}  // namespace kcm::node
