#pragma once

#include "LibCore/clock.h"
#include "LibNet/event_loop.h"

struct event;

namespace kcm::net {

/// Runs a handler once at a time that may be changed until then, and never
/// after the timer is destroyed. Other than EventLoop::After() it holds nothing
/// in the loop for longer than it is needed.
class Timer {
 public:
  Timer(EventLoop& loop, EventLoop::Handler handler);
  ~Timer();
  Timer(const Timer&) = delete;
  auto operator=(const Timer&) -> Timer& = delete;

  /// Runs the handler after `delay`, instead of at an earlier set time.
  auto Set(core::Millis delay) -> void;

 private:
  EventLoop::Handler handler_;
  event* source_;
};

}  // namespace kcm::net
