#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibNet/connection_table.h"
#include "LibNet/http_limits.h"

struct bufferevent;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace kcm::net {

/// Bytes of a request that was received whole, counted until it is answered.
class HandledBytes {
 public:
  HandledBytes(std::shared_ptr<ConnectionTable> table, std::size_t bytes)
      : table_(std::move(table)), bytes_(bytes) {
    table_->AddHandled(bytes_);
  }
  ~HandledBytes() {
    if (table_ != nullptr) {
      table_->SubtractHandled(bytes_);
    }
  }
  HandledBytes(HandledBytes&&) = default;
  HandledBytes(const HandledBytes&) = delete;
  auto operator=(HandledBytes&&) -> HandledBytes& = delete;
  auto operator=(const HandledBytes&) -> HandledBytes& = delete;

 private:
  std::shared_ptr<ConnectionTable> table_;
  std::size_t bytes_;
};

/// Applies limits to the connections of one evhttp server, which itself bounds
/// neither what it buffers nor how many connections it has.
///
/// evhttp reads through bufferevents that this class creates. It counts what
/// arrives on them and what waits to be written. A request that breaks a limit
/// is refused: its status is sent, nothing of it reaches evhttp any more, and
/// the connection is closed once the client has closed it or after a bounded
/// time and number of bytes, as a client that is still sending would otherwise
/// lose the status.
class ConnectionGuard {
 public:
  ConnectionGuard(event_base* base,
                  evhttp* server,
                  std::shared_ptr<ConnectionTable> table,
                  const HttpLimits& limits);
  ~ConnectionGuard();
  ConnectionGuard(const ConnectionGuard&) = delete;
  auto operator=(const ConnectionGuard&) -> ConnectionGuard& = delete;

  /// Sets the socket that accepts connections; nullptr when it is closed.
  auto set_socket(evhttp_bound_socket* socket) -> void { socket_ = socket; }

  /// Changes the limits of open and later connections.
  auto SetLimits(const HttpLimits& limits) -> void;

  /// Records that a request has been received whole and is handled now.
  /// @return what is held for it, or nothing if its connection was refused and
  ///     it must not run.
  [[nodiscard]] auto OnRequest(evhttp_request* request)
      -> std::optional<HandledBytes>;

  /// An object of any type, with the function that destroys it.
  using Kept = std::unique_ptr<void, void (*)(void*)>;

  /// Keeps an object until the answer to a request is written or its connection
  /// has ended; not at all if the client is gone already. Call it before the
  /// answer is passed to evhttp.
  auto KeepUntilWritten(evhttp_request* request, Kept kept) -> void;

 private:
  class Connection;

  auto Open() -> bufferevent*;
  auto Wake() -> void;
  auto Sweep() -> void;
  auto BindNewConnections() -> void;
  auto FreeClosed() -> void;
  auto FindConnection(evhttp_request* request) -> Connection*;
  auto ScheduleWake() -> void;

  event_base* base_;
  evhttp* server_;
  evhttp_bound_socket* socket_ = nullptr;
  std::shared_ptr<ConnectionTable> table_;
  HttpLimits limits_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
  /// Connections that evhttp has not been asked for yet; see Open().
  std::vector<bufferevent*> new_;
  /// Connections whose answers by evhttp are to be replaced, or that are to be
  /// closed.
  std::vector<bufferevent*> due_;
  bool is_accepting_ = true;
  core::Millis last_sweep_at_;
  event* wake_;
  event* sweep_;
};

}  // namespace kcm::net
