#include "route.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <utility>

#include "LibCore/check.h"
#include "pipe.h"

namespace kcm::standin {

namespace {

constexpr int kListenBacklog = 512;

auto OnAccept(evconnlistener* /*listener*/,
              evutil_socket_t descriptor,
              sockaddr* /*peer*/,
              int /*size*/,
              void* argument) -> void {
  static_cast<Route*>(argument)->AcceptConnection(descriptor);
}

}  // namespace

Route::Route(net::EventLoop& loop, core::Address listen, core::Address target)
    : loop_(loop), listen_(std::move(listen)), target_(std::move(target)) {
  Listen();
}

Route::~Route() {
  for (auto* pipe : std::exchange(pipes_, {})) {
    delete pipe;
  }
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

auto Route::Listen() -> void {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen_.port);
  inet_pton(AF_INET, listen_.host.c_str(), &address.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_.base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  KCM_CHECK(listener_ != nullptr);
}

auto Route::SetFaults(const Faults& faults) -> void {
  faults_ = faults;
  if (faults_.cut) {
    if (listener_ != nullptr) {
      evconnlistener_free(std::exchange(listener_, nullptr));
    }
    for (auto* pipe : std::exchange(pipes_, {})) {
      delete pipe;
    }
    return;
  }
  if (listener_ == nullptr) {
    Listen();
  }
  for (auto* pipe : pipes_) {
    pipe->ApplyFaults();
  }
}

auto Route::AcceptConnection(int descriptor) -> void {
  ++traffic_.connections;
  pipes_.insert(new Pipe(*this, descriptor));
}

auto Route::RemovePipe(Pipe* pipe) -> void {
  if (pipes_.erase(pipe) > 0) {
    loop_.After(0, [pipe] { delete pipe; });
  }
}

}  // namespace kcm::standin
