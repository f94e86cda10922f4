#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/guarantee_unit.h"
#include "LibSchedule/seat.h"
#include "LibSchedule/standing.h"

namespace kcm::schedule {

/// Room kept for one waiting gang until what occupies it has ended.
///
/// A reclaim preempts its victims at once; a reservation waits for gangs to
/// end and preempts what is preemptible only after the patience.
struct Hold {
  std::string job;
  state::Shape shape;
  Standing standing = Standing::kBorrowed;
  GuaranteeUnit* unit = nullptr;
  Seats seats;
  /// Borrowers in the way, by job id.
  std::vector<std::string> victims = {};
  bool reservation = false;
  core::Millis since = 0;
  core::Millis preempt_at = 0;
  /// When the last gang in the way is expected to end.
  core::Millis expected_ready = 0;
};

}  // namespace kcm::schedule
