#pragma once

#include <string>
#include <vector>

#include "LibNet/http_server.h"
#include "caller.h"

namespace kcm::gateway {

/// One call of the HTTP API on its way to a handler.
struct ApiCall {
  net::HttpRequest request;
  net::HttpReply reply;
  Caller caller;
  /// Values of the path's placeholders, in order.
  std::vector<std::string> parameters;
};

/// Sends the answer for a reason that was just found.
inline auto Refuse(const ApiCall& call,
                   core::ErrorKind kind,
                   std::string field,
                   std::string message) -> void {
  call.reply.SendError({kind, std::move(field), std::move(message)});
}

}  // namespace kcm::gateway
