#pragma once

#include "LibEntry/heartbeat_port.h"
#include "LibNet/http_client.h"

namespace kcm::entry {

/// Sends heartbeats over HTTP.
class HttpHeartbeatPort : public HeartbeatPort {
 public:
  explicit HttpHeartbeatPort(net::HttpClient& http) : http_(http) {}

  auto Send(const core::Address& peer,
            const PeerHeartbeat& heartbeat,
            Done done) -> void override;

 private:
  net::HttpClient& http_;
};

/// Path of heartbeats between entry processes.
inline constexpr const char* kHeartbeatPath = "/peer/beat";

}  // namespace kcm::entry
