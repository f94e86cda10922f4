#pragma once

#include "LibCore/address.h"
#include "LibNet/http_client.h"
#include "LibPlatform/log_client.h"

namespace kcm::platform {

/// Calls the log service over HTTP; docs/PLATFORM.md describes the calls.
class HttpLogClient final : public LogClient {
 public:
  HttpLogClient(net::HttpClient& http, core::Address service)
      : http_(http), service_(std::move(service)) {}

  auto Append(const std::string& stream,
              const std::vector<core::Json>& records,
              AppendDone done) -> void override;
  auto Read(const std::string& stream,
            std::int64_t from_offset,
            core::Millis wait,
            ReadDone done) -> void override;

 private:
  net::HttpClient& http_;
  core::Address service_;
};

}  // namespace kcm::platform
