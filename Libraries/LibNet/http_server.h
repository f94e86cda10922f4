#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/address.h"
#include "LibCore/reason.h"
#include "LibNet/connection_guard.h"
#include "LibNet/connection_table.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_limits.h"
#include "LibNet/http_message.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace kcm::net {

/// Answers one request, once, from any copy. Sends status 500 when the last
/// copy is destroyed without an answer.
class HttpReply {
 public:
  struct State;

  explicit HttpReply(std::shared_ptr<State> state) : state_(std::move(state)) {}

  /// Sends the response, unless one was sent before or the server is gone.
  auto Send(const HttpResponse& response) const -> void;

  /// Calls `listener` once with the response, also when the client is gone.
  auto SetResponseListener(
      std::function<void(const HttpResponse&)> listener) const -> void;

  /// Sends a JSON document with a status.
  auto SendJson(int status, const core::Json& document) const -> void;

  /// Sends an error body with the status of its kind.
  auto SendError(const core::Reason& reason) const -> void;

 private:
  std::shared_ptr<State> state_;
};

/// Serves HTTP on one address with evhttp.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;

  /// Opens a server that listens on `address`.
  /// @param table connections of all servers of the process; nullptr for a
  ///     table of its own with the bounds of a machine of unknown size.
  /// @return the server, or nothing with `reason` naming the address.
  [[nodiscard]] static auto create(EventLoop& loop,
                                   const core::Address& address,
                                   Handler handler,
                                   core::Reason& reason,
                                   const HttpLimits& limits = {},
                                   std::shared_ptr<ConnectionTable> table =
                                       nullptr) -> std::unique_ptr<HttpServer>;

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /// Stops accepting connections. Requests received are answered, and each
  /// open connection is closed after its next response.
  auto StopListening() -> void;

  /// Changes the limits of open and later connections.
  auto SetLimits(const HttpLimits& limits) -> void {
    shared_->guard->SetLimits(limits);
  }

  /// Keeps accepting connections, but closes each after its next response.
  auto CloseAfterResponses() -> void { shared_->closing = true; }

  /// @return number of requests received whose responses are not yet written to
  ///     their connections. A process that exits when there are none loses no
  ///     response.
  [[nodiscard]] auto pending() const -> int { return shared_->pending; }

  /// Passes a request to the handler; for the C callback only.
  auto Dispatch(evhttp_request* request) -> void;

  /// State shared by the server and its open replies.
  struct Shared {
    int pending = 0;
    /// Connections are closed after their next response.
    bool closing = false;
    /// False once the server is destroyed; replies then send nothing.
    bool alive = true;
    std::unique_ptr<ConnectionGuard> guard;
  };

 private:
  HttpServer(evhttp* server,
             evhttp_bound_socket* socket,
             std::unique_ptr<ConnectionGuard> guard,
             Handler handler);

  evhttp* server_;
  evhttp_bound_socket* socket_;
  Handler handler_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

}  // namespace kcm::net
