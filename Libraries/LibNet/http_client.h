#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_message.h"
#include "LibNet/traffic_meter.h"

struct evhttp_connection;
struct evhttp_request;

namespace kcm::net {

/// Outcome of one HTTP exchange.
enum class Exchange : std::uint8_t {
  /// A complete response arrived.
  kAnswered,
  /// No connection was made: the server received nothing.
  kNeverSent,
  /// The request may have been sent; no complete response came.
  kBroken,
};

/// Result of an exchange; `response` is set for kAnswered only.
struct HttpResult {
  Exchange exchange = Exchange::kBroken;
  /// For kBroken: the connection ended before the timeout, as it does when the
  /// server exits, and does not when the path to it is cut.
  bool ended_early = false;
  HttpResponse response;
};

/// Sends HTTP requests with evhttp, one at a time on each connection, and keeps
/// idle connections for the next request to the same server.
class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;

  explicit HttpClient(EventLoop& loop) : loop_(loop) {}
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Limits the idle connections kept per server.
  auto set_max_idle_per_server(std::size_t count) -> void {
    max_idle_per_server_ = count;
  }

  /// Limits the idle connections kept in all, since descriptors are limited.
  auto set_max_idle(std::size_t count) -> void { max_idle_ = count; }
  [[nodiscard]] auto idle_connections() const -> std::size_t {
    return idle_connections_;
  }

  /// Counts all exchanges from now on.
  auto set_traffic_meter(TrafficMeter* meter) -> void { meter_ = meter; }

  /// Sends one request.
  /// @param timeout time after which the exchange counts as broken.
  /// @param done called once, on the loop's thread.
  auto Send(const core::Address& server,
            const HttpRequest& request,
            core::Millis timeout,
            Done done) -> void;

 private:
  struct Call;

  static auto OnResponse(evhttp_request* request, void* argument) -> void;
  /// Called before OnResponse() if the exchange fails.
  static auto OnError(int error, void* argument) -> void;
  auto AcquireConnection(const core::Address& server) -> evhttp_connection*;
  auto FinishCall(Call& call, evhttp_request* request) -> void;

  EventLoop& loop_;
  TrafficMeter* meter_ = nullptr;
  std::size_t max_idle_per_server_ = 64;
  std::size_t max_idle_ = std::numeric_limits<std::size_t>::max();
  std::size_t idle_connections_ = 0;
  std::map<core::Address, std::vector<evhttp_connection*>> idle_;
};

}  // namespace kcm::net
