#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "LibCore/clock.h"

struct event_base;
struct event;

namespace kcm::net {

/// Runs all handlers of a process on one thread, one at a time.
///
/// Objects that share a loop need no locks: each has its own sockets and state,
/// and may pass work to another by a handler posted to the loop.
class EventLoop {
 public:
  using Handler = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  auto operator=(const EventLoop&) -> EventLoop& = delete;

  /// Runs handlers until Stop().
  auto Run() -> void;

  /// Ends Run() after the handlers that are due now.
  auto Stop() -> void;

  /// Runs a handler once, on the loop's thread, after `delay`.
  auto After(core::Millis delay, Handler handler) -> void;

  /// Runs a handler every `period` until the loop is destroyed.
  auto Every(core::Millis period, Handler handler) -> void;

  /// Runs a handler whenever a file descriptor is readable.
  auto OnReadable(int descriptor, Handler handler) -> void;

  /// Runs a handler at each delivery of a signal such as SIGTERM.
  auto OnSignal(int signal_number, Handler handler) -> void;

  /// @return the libevent base, for the adapters of this library.
  [[nodiscard]] auto base() const -> event_base* { return base_; }

 private:
  struct Watch;

  auto AddWatch(int descriptor, short events, Handler handler) -> Watch&;

  event_base* base_;
  std::vector<std::unique_ptr<Watch>> watches_;
};

}  // namespace kcm::net
