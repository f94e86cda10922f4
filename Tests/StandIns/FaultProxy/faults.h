#pragma once

#include <cstdint>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::standin {

/// Faults injected into the connections of one route.
struct Faults {
  /// Closes open connections and refuses new ones.
  bool cut = false;
  /// Keeps connections open but forwards nothing.
  bool freeze = false;
  core::Millis delay_ms = 0;
  /// Bytes a second towards the target; zero for no limit.
  std::int64_t bytes_per_s = 0;
  /// Closes a connection after this many bytes from the target; zero for never.
  std::int64_t truncate_after = 0;
};

KCM_JSON(Faults, cut, freeze, delay_ms, bytes_per_s, truncate_after)

/// Traffic that a route forwarded.
struct Traffic {
  std::int64_t connections = 0;
  std::int64_t bytes_out = 0;
  std::int64_t bytes_back = 0;
};

KCM_JSON(Traffic, connections, bytes_out, bytes_back)

}  // namespace kcm::standin
