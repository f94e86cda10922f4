#pragma once

#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibNet/http_client.h"

namespace kcm::cli {

/// Makes one API call at a time and waits for the response.
class ApiClient {
 public:
  ApiClient(core::Address gateway, std::string token)
      : gateway_(std::move(gateway)), token_(std::move(token)), http_(loop_) {}

  /// Makes one call.
  /// @return the response, or nothing with `reason`.
  [[nodiscard]] auto Call(net::HttpRequest request, core::Reason& reason)
      -> std::optional<net::HttpResponse>;

  /// Blocks for `duration` milliseconds.
  auto Sleep(core::Millis duration) -> void;

 private:
  core::Address gateway_;
  std::string token_;
  net::EventLoop loop_;
  net::HttpClient http_;
};

}  // namespace kcm::cli
