#include "LibCore/clock.h"

#include <chrono>

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

auto WallNow() -> Millis {
  return MillisOf<std::chrono::system_clock>();
}

}  // namespace kcm::core
