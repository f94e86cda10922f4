#pragma once

#include <cstdint>

namespace kcm::core {

/// Milliseconds: a duration, or a time on the clock that the name states.
using Millis = std::int64_t;

inline constexpr Millis kMillisPerSecond = 1000;

/// Reads the monotonic clock.
/// @return milliseconds since an arbitrary start; never decreases.
auto MonotonicNow() -> Millis;

/// Reads the monotonic clock that also counts time in which the machine was
/// suspended; leases granted to other processes are timed with it.
/// @return milliseconds since an arbitrary start; never decreases.
auto SuspendAwareNow() -> Millis;

/// Reads the wall clock.
/// @return milliseconds since the Unix epoch; for display and records only.
auto WallNow() -> Millis;

}  // namespace kcm::core
