#pragma once

#include "LibNet/http_client.h"
#include "LibPlatform/worker_port.h"

namespace kcm::platform {

/// Calls workers over HTTP; docs/PLATFORM.md describes the calls.
class HttpWorkerPort final : public WorkerPort {
 public:
  explicit HttpWorkerPort(net::HttpClient& http) : http_(http) {}

  auto Acquire(const core::Address& worker,
               const LeaseRequest& request,
               CommandDone done) -> void override;
  auto Command(const core::Address& worker,
               const std::string& lease,
               std::int64_t term,
               LeaseCommand command,
               const core::Json& task,
               CommandDone done) -> void override;
  auto Renew(const core::Address& worker,
             std::int64_t term,
             const std::vector<std::string>& leases,
             core::Millis ttl,
             RenewDone done) -> void override;

 private:
  auto Post(const core::Address& worker,
            const std::string& path,
            const core::Json& body,
            net::HttpClient::Done done) -> void;

  net::HttpClient& http_;
};

}  // namespace kcm::platform
