#pragma once

#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibNet/http_client.h"

namespace kcm::cli {

/// Makes one API call at a time and waits for the response.
class ApiClient {
 public:
  /// @param role what answers at the address, for messages.
  ApiClient(core::Address server, std::string token, std::string role)
      : server_(std::move(server)),
        token_(std::move(token)),
        role_(std::move(role)),
        http_(loop_) {}

  /// Makes one call.
  /// @return the response, or nothing with `reason`.
  [[nodiscard]] auto Call(net::HttpRequest request, core::Reason& reason)
      -> std::optional<net::HttpResponse>;

  /// Blocks for `duration` milliseconds.
  auto Sleep(core::Millis duration) -> void;

 private:
  core::Address server_;
  std::string token_;
  std::string role_;
  net::EventLoop loop_;
  net::HttpClient http_;
};

}  // namespace kcm::cli
