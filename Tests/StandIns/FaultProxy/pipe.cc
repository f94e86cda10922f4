#include "pipe.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace kcm::standin {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
/// Time for delayed writes before a closed pipe is deleted.
constexpr core::Millis kCloseGrace = 5;

auto OnRead(bufferevent* from, void* argument) -> void {
  static_cast<Pipe*>(argument)->Forward(from);
}

auto OnEvent(bufferevent* from, short what, void* argument) -> void {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    auto* pipe = static_cast<Pipe*>(argument);
    pipe->Forward(from);
    pipe->Close();
  }
}

}  // namespace

Pipe::Pipe(Route& route, int descriptor)
    : route_(route),
      client_(bufferevent_socket_new(route.loop().base(),
                                     descriptor,
                                     BEV_OPT_CLOSE_ON_FREE)),
      target_(bufferevent_socket_new(route.loop().base(),
                                     -1,
                                     BEV_OPT_CLOSE_ON_FREE)) {
  bufferevent_setcb(client_, OnRead, nullptr, OnEvent, this);
  bufferevent_setcb(target_, OnRead, nullptr, OnEvent, this);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(route.target().port);
  inet_pton(AF_INET, route.target().host.c_str(), &address.sin_addr);
  bufferevent_socket_connect(target_, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  ApplyFaults();
}

Pipe::~Pipe() {
  *alive_ = false;
  bufferevent_free(client_);
  bufferevent_free(target_);
}

auto Pipe::ApplyFaults() -> void {
  const auto apply =
      route_.faults().freeze ? bufferevent_disable : bufferevent_enable;
  for (auto* side : {client_, target_}) {
    apply(side, EV_READ);
    bufferevent_enable(side, EV_WRITE);
  }
}

auto Pipe::Forward(bufferevent* from) -> void {
  auto* input = bufferevent_get_input(from);
  std::string bytes(evbuffer_get_length(input), '\0');
  if (bytes.empty()) {
    return;
  }
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool towards_target = from == client_;
  const auto& faults = route_.faults();
  if (!towards_target && faults.truncate_after > 0) {
    const auto remaining =
        std::max<std::int64_t>(faults.truncate_after - response_bytes_, 0);
    if (std::cmp_greater(bytes.size(), remaining)) {
      bytes.resize(static_cast<std::size_t>(remaining));
      Write(false, bytes);
      Close();
      return;
    }
    response_bytes_ += static_cast<std::int64_t>(bytes.size());
  }
  auto delay = faults.delay_ms;
  if (towards_target && faults.bytes_per_s > 0) {
    const auto now = core::MonotonicNow();
    busy_until_ =
        std::max(busy_until_, now) + static_cast<core::Millis>(bytes.size()) *
                                         kMillisPerSecond / faults.bytes_per_s;
    delay += busy_until_ - now;
  }
  if (delay == 0) {
    Write(towards_target, bytes);
    return;
  }
  route_.loop().After(delay, [this, alive = alive_, towards_target, bytes] {
    if (*alive) {
      Write(towards_target, bytes);
    }
  });
}

auto Pipe::Write(bool towards_target, const std::string& bytes) -> void {
  auto& traffic = route_.traffic();
  const auto size = static_cast<std::int64_t>(bytes.size());
  (towards_target ? traffic.bytes_out : traffic.bytes_back) += size;
  bufferevent_write(towards_target ? target_ : client_, bytes.data(),
                    bytes.size());
}

auto Pipe::Close() -> void {
  route_.loop().After(kCloseGrace + route_.faults().delay_ms,
                      [this, alive = alive_] {
                        if (*alive) {
                          route_.RemovePipe(this);
                        }
                      });
}

}  // namespace kcm::standin
