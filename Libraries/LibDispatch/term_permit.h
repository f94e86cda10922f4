#pragma once

#include <cstddef>
#include <limits>
#include <optional>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// What the state of its term allows a holder to send to workers.
struct TermPermit {
  /// Leases may be granted: the term was confirmed recently.
  bool may_renew = false;
  /// When the newest append that the store accepted was first sent, on the
  /// steady clock: no successor had claimed the term by then.
  core::Millis confirmed_at = 0;
  /// Tasks may be started: it is known which data centres are evacuated.
  bool may_start = true;
  /// A worker must not begin a task later than this, on the steady clock;
  /// nothing if there is no such bound.
  std::optional<core::Millis> starts_until{};
  /// Most calls that start or stop a run, as each takes a connection.
  std::size_t max_run_calls = std::numeric_limits<std::size_t>::max();
};

}  // namespace kcm::dispatch
