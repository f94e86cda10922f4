#pragma once

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <utility>

#include "LibCore/address.h"
#include "LibNet/event_loop.h"

namespace kcm::net {

/// A client that sends any bytes on one connection, on the loop of the server,
/// and keeps what it receives.
class RawClient {
 public:
  RawClient(EventLoop& loop, const core::Address& address)
      : stream_(
            bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_, OnRead, nullptr, OnEvent, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
    bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&target),
                               sizeof(target));
  }
  ~RawClient() { bufferevent_free(stream_); }
  RawClient(const RawClient&) = delete;
  auto operator=(const RawClient&) -> RawClient& = delete;

  auto Send(const std::string& text) -> void {
    bufferevent_write(stream_, text.data(), text.size());
  }

  /// Sends no more, once all is written.
  auto EndSending() -> void {
    if (evbuffer_get_length(bufferevent_get_output(stream_)) == 0 &&
        is_connected_) {
      shutdown(bufferevent_getfd(stream_), SHUT_WR);
      return;
    }
    bufferevent_setcb(
        stream_, OnRead,
        [](bufferevent* stream, void* /*self*/) {
          shutdown(bufferevent_getfd(stream), SHUT_WR);
        },
        OnEvent, this);
  }

  auto StopReading() -> void { bufferevent_disable(stream_, EV_READ); }

  [[nodiscard]] auto received() const -> const std::string& {
    return received_;
  }
  /// @return whether the server has closed the connection.
  [[nodiscard]] auto is_closed() const -> bool { return is_closed_; }
  /// @return whether everything was handed to the system.
  [[nodiscard]] auto has_sent() const -> bool {
    return evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
  }

 private:
  static auto OnRead(bufferevent* stream, void* self) -> void {
    auto* input = bufferevent_get_input(stream);
    const auto size = evbuffer_get_length(input);
    std::string text(size, '\0');
    evbuffer_remove(input, text.data(), size);
    static_cast<RawClient*>(self)->received_ += text;
  }

  static auto OnEvent(bufferevent* stream, short what, void* self) -> void {
    auto& client = *static_cast<RawClient*>(self);
    client.is_connected_ =
        client.is_connected_ || (what & BEV_EVENT_CONNECTED) != 0;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      OnRead(stream, self);
      client.is_closed_ = true;
    }
  }

  bufferevent* stream_;
  std::string received_;
  bool is_connected_ = false;
  bool is_closed_ = false;
};

/// Runs a loop until a condition holds or some time has passed.
/// @return whether it holds.
template <typename Condition>
auto RunUntil(EventLoop& loop, Condition condition, core::Millis max_ms = 8000)
    -> bool {
  const auto end = core::MonotonicNow() + max_ms;
  std::function<void()> check = [&] {
    if (condition() || core::MonotonicNow() >= end) {
      loop.Stop();
    } else {
      loop.After(1, check);
    }
  };
  check();
  loop.Run();
  return condition();
}

}  // namespace kcm::net
