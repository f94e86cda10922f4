#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibNet/http_message.h"
#include "LibNet/http_server.h"

namespace kcm::net {

/// Exchanges of one kind and their bytes; the numbers only grow.
struct TrafficCount {
  std::int64_t exchanges = 0;
  std::int64_t sent_bytes = 0;
  std::int64_t received_bytes = 0;
};

/// Counts a process's HTTP exchanges by kind, with the bytes of their first
/// lines, headers and bodies; those that the HTTP library adds are estimated.
class TrafficMeter {
 public:
  /// @param kind a kind of exchange; a small number of them is in use.
  auto CountRequest(const std::string& kind, const HttpRequest& sent) -> void;
  /// @param received nothing arrived if null.
  auto CountResponse(const std::string& kind, const HttpResponse* received)
      -> void;
  /// Counts a request that was received and, once it is sent, its response.
  /// The meter outlives the reply.
  auto CountServed(const std::string& kind,
                   const HttpRequest& request,
                   const HttpReply& reply) -> void;

  [[nodiscard]] auto counts() const
      -> const std::map<std::string, TrafficCount>& {
    return counts_;
  }

 private:
  std::map<std::string, TrafficCount> counts_;
};

}  // namespace kcm::net
