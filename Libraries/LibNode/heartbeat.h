#pragma once

#include "LibCore/json.h"

namespace kcm::node {

/// State that a process sends to its peers several times a second.
struct Heartbeat {
  bool leaving = false;
  /// Whether it has applied every stream of the log up to its end once; set by
  /// relays.
  bool ready = false;
  /// Whether the log answered its last read; set by relays.
  bool reachable = true;
};

KCM_JSON(Heartbeat, leaving, ready, reachable)

}  // namespace kcm::node
