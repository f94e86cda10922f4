#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::state {

/// When the next snapshot of a stream is due.
struct SnapshotSettings {
  /// Records after which a snapshot is due.
  std::int64_t records = 1000;
  /// Time after which a snapshot is due even with fewer records.
  core::Millis interval_ms = 600000;
};

/// The last snapshot of a stream as one process that reads the log sees it.
struct SnapshotView {
  std::int64_t records_since = 0;
  core::Millis age_ms = 0;
  /// Position, from zero, of this reader's region among the regions of all data
  /// centres, in the order of names.
  std::int64_t rank = 0;
};

/// @return whether this reader should publish a snapshot now.
///
/// Readers of a higher rank wait longer, so that the first running one
/// publishes and the others read its snapshot from the log. Duplicates are
/// harmless.
[[nodiscard]] auto IsSnapshotDue(const SnapshotSettings& settings,
                                 const SnapshotView& view) -> bool;

}  // namespace kcm::state
