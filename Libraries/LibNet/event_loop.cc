#include "LibNet/event_loop.h"

#include <event2/event.h>
#include <event2/util.h>

#include <csignal>
#include <utility>

#include "LibCore/check.h"

namespace kcm::net {

namespace {

auto ToTimeval(core::Millis span) -> timeval {
  return {static_cast<time_t>(span / 1000),
          static_cast<suseconds_t>((span % 1000) * 1000)};
}

/// A request enables and disables reading and writing on its connection several
/// times. With the list of changes a turn makes one system call for each
/// descriptor that is different at its end. No descriptor here is a duplicate,
/// which is what the list requires.
auto MakeBase() -> event_base* {
  const std::unique_ptr<event_config, decltype(&event_config_free)>
      configuration(event_config_new(), event_config_free);
  KCM_CHECK(configuration != nullptr);
  event_config_set_flag(configuration.get(),
                        EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  return event_base_new_with_config(configuration.get());
}

auto RunOneShotHandler(evutil_socket_t /*unused*/,
                       short /*unused*/,
                       void* argument) -> void {
  const std::unique_ptr<EventLoop::Handler> handler(
      static_cast<EventLoop::Handler*>(argument));
  (*handler)();
}

auto RunPersistentHandler(evutil_socket_t /*unused*/,
                          short /*unused*/,
                          void* argument) -> void {
  (*static_cast<EventLoop::Handler*>(argument))();
}

}  // namespace

struct EventLoop::Watch {
  Handler handler;
  event* source = nullptr;

  ~Watch() {
    if (source != nullptr) {
      event_free(source);
    }
  }
};

EventLoop::EventLoop() : base_(MakeBase()) {
  KCM_CHECK(base_ != nullptr);
}

EventLoop::~EventLoop() {
  watches_.clear();
  event_base_free(base_);
}

auto EventLoop::Run() -> void {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::Stop() -> void {
  event_base_loopexit(base_, nullptr);
}

auto EventLoop::After(core::Millis delay, Handler handler) -> void {
  const auto span = ToTimeval(delay);
  auto argument = std::make_unique<Handler>(std::move(handler));
  const auto added = event_base_once(base_, -1, EV_TIMEOUT, RunOneShotHandler,
                                     argument.release(), &span);
  KCM_CHECK(added == 0);
}

auto EventLoop::Every(core::Millis period, Handler handler) -> void {
  auto& watch = AddWatch(-1, EV_PERSIST, std::move(handler));
  const auto span = ToTimeval(period);
  event_add(watch.source, &span);
}

auto EventLoop::OnReadable(int descriptor, Handler handler) -> void {
  auto& watch = AddWatch(descriptor, EV_READ | EV_PERSIST, std::move(handler));
  event_add(watch.source, nullptr);
}

auto EventLoop::OnSignal(int signal_number, Handler handler) -> void {
  // libevent restores the previous handler when the loop is freed. Ignoring
  // the signal keeps one that arrives between then and the exit of the process
  // from killing it.
  std::signal(signal_number, SIG_IGN);
  auto& watch =
      AddWatch(signal_number, EV_SIGNAL | EV_PERSIST, std::move(handler));
  event_add(watch.source, nullptr);
}

auto EventLoop::AddWatch(int descriptor, short events, Handler handler)
    -> Watch& {
  auto watch = std::make_unique<Watch>();
  watch->handler = std::move(handler);
  watch->source = event_new(base_, descriptor, events, RunPersistentHandler,
                            &watch->handler);
  KCM_CHECK(watch->source != nullptr);
  watches_.push_back(std::move(watch));
  return *watches_.back();
}

}  // namespace kcm::net
