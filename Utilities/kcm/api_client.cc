#include "api_client.h"

#include <utility>

namespace kcm::cli {

namespace {

constexpr core::Millis kCallTimeout = 60000;

}  // namespace

auto ApiClient::Call(net::HttpRequest request, core::Reason& reason)
    -> std::optional<net::HttpResponse> {
  if (!token_.empty()) {
    request.headers["authorization"] = "Bearer " + token_;
  }
  request.headers.try_emplace("content-type", "application/json");
  net::HttpResult result;
  http_.Send(server_, request, kCallTimeout,
             [this, &result](net::HttpResult received) {
               result = std::move(received);
               loop_.Stop();
             });
  loop_.Run();
  switch (result.exchange) {
    case net::Exchange::kAnswered:
      return std::move(result.response);
    case net::Exchange::kNeverSent:
      return reason.Fail(core::ErrorKind::kNoEndpoint, role_,
                         "No " + role_ + " answers at " + server_.ToString() +
                             "; the call was not made.");
    case net::Exchange::kBroken:
      break;
  }
  return reason.Fail(core::ErrorKind::kOutcomeUnknown, role_,
                     "The connection to " + server_.ToString() +
                         " broke before the answer; the call may have taken "
                         "effect.");
}

auto ApiClient::Sleep(core::Millis duration) -> void {
  loop_.After(duration, [this] { loop_.Stop(); });
  loop_.Run();
}

}  // namespace kcm::cli
