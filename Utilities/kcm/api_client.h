#pragma once

#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibNet/http_client.h"

namespace kcm::cli {

/// Makes one API call at a time and waits for its answer.
class ApiClient {
 public:
  ApiClient(core::Address gateway, std::string token)
      : gateway_(std::move(gateway)), token_(std::move(token)), http_(loop_) {}

  /// Makes one call.
  /// @return the answer, or nothing with `reason` when none came.
  [[nodiscard]] auto Call(net::HttpRequest request, core::Reason& reason)
      -> std::optional<net::HttpAnswer>;

  /// Waits between two calls.
  auto Pause(core::Millis span) -> void;

 private:
  core::Address gateway_;
  std::string token_;
  net::EventLoop loop_;
  net::HttpClient http_;
};

}  // namespace kcm::cli
