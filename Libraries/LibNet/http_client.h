#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_message.h"

struct evhttp_connection;
struct evhttp_request;

namespace kcm::net {

/// How far an exchange with an HTTP server came.
enum class Exchange : std::uint8_t {
  /// A whole answer arrived.
  kAnswered,
  /// No connection was made: the server provably saw nothing.
  kNeverSent,
  /// Bytes may have left and no whole answer came back.
  kBroken,
};

/// The end of one exchange.
struct HttpResult {
  Exchange exchange = Exchange::kBroken;
  HttpAnswer answer;
};

/// Sends HTTP requests by evhttp, one at a time on each connection, and keeps
/// idle connections for the next request to the same server.
class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;

  explicit HttpClient(EventLoop& loop) : loop_(loop) {}
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Bounds the idle connections kept to each server.
  auto set_max_idle_per_server(std::size_t count) -> void {
    max_idle_per_server_ = count;
  }

  /// Sends one request.
  /// @param timeout span after which the exchange counts as broken.
  /// @param done called once, on the loop's thread.
  auto Send(const core::Address& server,
            const HttpRequest& request,
            core::Millis timeout,
            Done done) -> void;

 private:
  struct Call;

  static auto OnAnswer(evhttp_request* request, void* argument) -> void;
  auto TakeConnection(const core::Address& server) -> evhttp_connection*;
  auto Finish(Call& call, evhttp_request* request) -> void;

  EventLoop& loop_;
  std::size_t max_idle_per_server_ = 64;
  std::map<core::Address, std::vector<evhttp_connection*>> idle_;
};

}  // namespace kcm::net
