#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/seat.h"
#include "LibSchedule/standing.h"
#include "LibState/recovery.h"
#include "LibState/shape.h"

namespace kcm::schedule {

struct GuaranteeUnit;

/// A gang that occupies workers, assembling or running.
struct Gang {
  std::string id;
  std::string account;
  state::Shape shape;
  state::Recovery recovery = state::Recovery::kNone;
  bool urgent = false;
  /// The placement stands in the log.
  bool placed = false;
  /// A PreemptGang is under way.
  bool preempting = false;
  Standing standing = Standing::kFirm;
  /// The unit that the gang is charged to when its standing is kGuaranteed.
  GuaranteeUnit* unit = nullptr;
  std::int64_t attempt = 0;
  core::Millis declared_ms = 0;
  core::Millis since = 0;
  core::Millis started = 0;
  Seats seats;
  /// Accelerators by seat, as bits.
  std::vector<std::uint64_t> masks;
};

}  // namespace kcm::schedule
