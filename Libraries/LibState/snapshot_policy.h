#pragma once

#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::state {

/// When the state of a stream is published again.
struct SnapshotSettings {
  /// Records after which a snapshot is due.
  std::int64_t records = 1000;
  /// Span after which a snapshot is due though few records came.
  core::Millis interval_ms = 600000;
};

/// What a reader of the log knows of the last snapshot of a stream.
struct SnapshotView {
  std::int64_t records_since = 0;
  core::Millis age_ms = 0;
  /// Place of this reader's region in the order of the regions.
  std::int64_t rank = 0;
};

/// Decides whether this reader publishes a snapshot now.
///
/// Readers of later regions wait longer, so that the first one alive publishes
/// and the others see its snapshot in the log. Two snapshots are harmless.
[[nodiscard]] auto IsSnapshotDue(const SnapshotSettings& settings,
                                 const SnapshotView& view) -> bool;

}  // namespace kcm::state
