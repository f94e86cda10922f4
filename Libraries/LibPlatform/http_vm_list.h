#pragma once

#include <utility>

#include "LibNet/http_client.h"
#include "LibPlatform/vm_list.h"

namespace kcm::platform {

/// Reads the VM list over HTTP; docs/PLATFORM.md describes the call.
class HttpVmList final : public VmList {
 public:
  HttpVmList(net::HttpClient& http, core::Address service)
      : http_(http), service_(std::move(service)) {}

  auto List(const std::string& role, ListDone done) -> void override;

 private:
  net::HttpClient& http_;
  core::Address service_;
};

}  // namespace kcm::platform
