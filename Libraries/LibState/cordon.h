#pragma once

#include <string>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::state {

/// An operator's request to place no more gang members on a worker.
struct Cordon {
  std::string worker;
  /// False lifts the cordon.
  bool cordoned = true;
  std::string reason;
  core::Millis at = 0;
};

KCM_JSON(Cordon, worker, cordoned, reason, at)

}  // namespace kcm::state
