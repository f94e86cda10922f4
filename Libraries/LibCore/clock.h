#pragma once

#include <cstdint>

namespace kcm::core {

/// Milliseconds, either a span or a point on the clock that the name states.
using Millis = std::int64_t;

inline constexpr Millis kMillisPerSecond = 1000;

/// Reads the monotonic clock.
/// @return milliseconds since an arbitrary start; never goes back.
auto MonotonicNow() -> Millis;

/// Reads the monotonic clock that also counts time in which the machine was
/// suspended; leases granted to others are measured on it.
/// @return milliseconds since an arbitrary start; never goes back.
auto SuspendAwareNow() -> Millis;

/// Reads the wall clock.
/// @return milliseconds since the Unix epoch; for display and records only.
auto WallNow() -> Millis;

}  // namespace kcm::core
