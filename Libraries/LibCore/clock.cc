#include "LibCore/clock.h"

#include <chrono>
#include <ctime>

namespace kcm::core {

namespace {

template <typename Clock>
auto MillisOf() -> Millis {
  const auto since_epoch = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

}  // namespace

auto MonotonicNow() -> Millis {
  return MillisOf<std::chrono::steady_clock>();
}

auto SuspendAwareNow() -> Millis {
  constexpr Millis kMillisPerSecond = 1000;
  constexpr Millis kNanosPerMilli = 1000000;
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    return MonotonicNow();
  }
  return time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli;
}

auto WallNow() -> Millis {
  return MillisOf<std::chrono::system_clock>();
}

}  // namespace kcm::core
