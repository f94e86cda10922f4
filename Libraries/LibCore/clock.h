#pragma once

#include <cstdint>

namespace kcm::core {

/// Milliseconds, either a span or a point on the clock that the name states.
using Millis = std::int64_t;

/// Reads the monotonic clock.
/// @return milliseconds since an arbitrary start; never goes back.
auto MonotonicNow() -> Millis;

/// Reads the wall clock.
/// @return milliseconds since the Unix epoch; for display and records only.
auto WallNow() -> Millis;

}  // namespace kcm::core
