#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/address.h"
#include "LibCore/reason.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_message.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace kcm::net {

/// The right to answer one request, once. Copies share that right.
class HttpReply {
 public:
  struct State;

  explicit HttpReply(std::shared_ptr<State> state) : state_(std::move(state)) {}

  /// Sends the answer, unless one was sent before or the caller has left.
  auto Send(const HttpAnswer& answer) const -> void;

  /// Calls `listener` once with the answer that is sent; an answer that finds
  /// its caller gone is told too.
  auto OnAnswered(std::function<void(const HttpAnswer&)> listener) const
      -> void;

  /// Sends a JSON document with a status.
  auto SendJson(int status, const core::Json& document) const -> void;

  /// Sends the answer that belongs to the reason's kind.
  auto SendError(const core::Reason& reason) const -> void;

 private:
  std::shared_ptr<State> state_;
};

/// Serves HTTP on one address by evhttp.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpReply)>;

  /// Starts to listen.
  /// @return the server, or nothing with `reason` naming the address.
  [[nodiscard]] static auto create(EventLoop& loop,
                                   const core::Address& address,
                                   Handler handler,
                                   core::Reason& reason)
      -> std::unique_ptr<HttpServer>;

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /// Accepts no new connections. Those open get the answers to what they
  /// sent, and each is closed after its next answer.
  auto StopListening() -> void;

  /// Goes on to accept connections, and closes each after its next answer.
  auto CloseAfterAnswers() -> void { shared_->closing = true; }

  /// @return requests that were read and not yet answered.
  [[nodiscard]] auto pending() const -> int { return shared_->pending; }

  /// Hands a request of evhttp to the handler; for the C callback only.
  auto Dispatch(evhttp_request* request) -> void;

  /// What open replies share with their server.
  struct Shared {
    int pending = 0;
    /// Answers end their connections.
    bool closing = false;
    /// Replies that outlive the server answer nobody.
    bool alive = true;
  };

 private:
  HttpServer(evhttp* server, evhttp_bound_socket* socket, Handler handler);

  evhttp* server_;
  evhttp_bound_socket* socket_;
  Handler handler_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

}  // namespace kcm::net
