#pragma once

#include "LibNet/http_client.h"
#include "LibPlatform/minion_port.h"

namespace kcm::platform {

/// Calls minions over HTTP; docs/PLATFORM.md describes the call.
class HttpMinionPort final : public MinionPort {
 public:
  explicit HttpMinionPort(net::HttpClient& http) : http_(http) {}

  auto Send(const core::Address& minion,
            const MinionRequest& request,
            Done done) -> void override;

 private:
  net::HttpClient& http_;
};

}  // namespace kcm::platform
