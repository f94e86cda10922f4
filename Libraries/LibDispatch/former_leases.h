#pragma once

#include <cstdint>

#include "LibCore/clock.h"
#include "LibDispatch/clock_witness.h"

namespace kcm::dispatch {

/// What a new holder knows about the leases that former holders granted.
struct FormerLeases {
  /// Time on the steady clock by which all of them have expired.
  core::Millis end = 0;
  /// Time on the steady clock, not before the stored rows were read.
  core::Millis read_at = 0;
  /// See LeaseRow::series.
  std::int64_t series = 0;
  /// Witnesses of the moment from which the last holder was allowed to grant
  /// leases; empty if that may have been as late as `read_at`.
  ClockWitnesses witnesses = {};
};

}  // namespace kcm::dispatch
