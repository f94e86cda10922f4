#pragma once

#include <functional>
#include <optional>

#include "LibCore/address.h"
#include "LibEntry/peer_heartbeat.h"

namespace kcm::entry {

/// Carries heartbeats to other entry processes.
class HeartbeatPort {
 public:
  /// @param answer the peer's own heartbeat; nothing if none came in time.
  using Done = std::function<void(std::optional<PeerHeartbeat> answer)>;

  HeartbeatPort() = default;
  virtual ~HeartbeatPort() = default;
  HeartbeatPort(const HeartbeatPort&) = delete;
  auto operator=(const HeartbeatPort&) -> HeartbeatPort& = delete;

  /// @param done called once, after this function has returned.
  virtual auto Send(const core::Address& peer,
                    const PeerHeartbeat& heartbeat,
                    Done done) -> void = 0;
};

}  // namespace kcm::entry
