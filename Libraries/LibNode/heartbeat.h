#pragma once

#include "LibCore/json.h"

namespace kcm::node {

/// What a process tells its peers of itself several times a second.
struct Heartbeat {
  bool leaving = false;
  /// Whether it holds the whole state; set by relays.
  bool ready = false;
  /// Whether the log answered it last time; set by relays.
  bool reachable = true;
};

KCM_JSON(Heartbeat, leaving, ready, reachable)

}  // namespace kcm::node
