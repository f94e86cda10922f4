#pragma once

#include <string>
#include <vector>

#include "LibNet/http_server.h"
#include "caller.h"

namespace kcm::gateway {

/// One call of the HTTP API, as passed to its handler.
struct ApiCall {
  net::HttpRequest request;
  net::HttpReply reply;
  Caller caller;
  /// Values of the path placeholders, in order.
  std::vector<std::string> parameters;
};

/// Sends an error as the answer to a call.
inline auto ReplyWithError(const ApiCall& call,
                           core::ErrorKind kind,
                           std::string field,
                           std::string message) -> void {
  call.reply.SendError({kind, std::move(field), std::move(message)});
}

}  // namespace kcm::gateway
