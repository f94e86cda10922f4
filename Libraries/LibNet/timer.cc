#include "LibNet/timer.h"

#include <event2/event.h>

#include <utility>

#include "LibCore/check.h"

namespace kcm::net {

Timer::Timer(EventLoop& loop, EventLoop::Handler handler)
    : handler_(std::move(handler)),
      source_(event_new(
          loop.base(),
          -1,
          0,
          [](evutil_socket_t /*unused*/, short /*unused*/, void* self) {
            static_cast<Timer*>(self)->handler_();
          },
          this)) {
  KCM_CHECK(source_ != nullptr);
}

Timer::~Timer() {
  event_free(source_);
}

auto Timer::Set(core::Millis delay) -> void {
  const timeval span{
      static_cast<time_t>(delay / core::kMillisPerSecond),
      static_cast<suseconds_t>(delay % core::kMillisPerSecond * 1000)};
  event_add(source_, &span);
}

}  // namespace kcm::net
