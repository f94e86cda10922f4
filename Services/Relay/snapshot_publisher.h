#pragma once

#include <deque>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibState/snapshot_chunk.h"
#include "LibState/snapshot_policy.h"

namespace kcm::relay {

/// Publishes the state of each stream as snapshot records, well before the
/// log's retention drops the records that the state was computed from.
class SnapshotPublisher {
 public:
  explicit SnapshotPublisher(node::Node& node);

  /// Publishes the snapshots that are due; called periodically on the region's
  /// reader.
  auto PublishDueSnapshots() -> void;

 private:
  /// Records and snapshots of one stream, as read from the log. A snapshot
  /// consists of several records, its parts.
  struct Progress {
    /// Records read, without snapshot parts.
    std::int64_t records = 0;
    /// Those of `records` that the last complete snapshot covers.
    std::int64_t covered = 0;
    /// When the last part of that snapshot was read.
    core::Millis covered_at = 0;
    /// Id of the snapshot whose parts are being read.
    std::string arriving;
    /// Accepted parts of it so far.
    std::int64_t parts = 0;
    /// `records` at its first part; becomes `covered` with its last part.
    std::int64_t records_before = 0;
    /// Own parts that are not appended yet.
    std::deque<state::SnapshotChunk> unsent;
    bool publishing = false;
  };

  auto OnApplied(const node::AppliedRecord& applied) -> void;
  [[nodiscard]] auto IsDue(const std::string& stream,
                           const Progress& progress) const -> bool;
  auto AppendNextPart(const std::string& stream) -> void;

  node::Node& node_;
  state::SnapshotSettings settings_;
  std::int64_t region_rank_ = 0;
  std::map<std::string, Progress> progress_;
};

}  // namespace kcm::relay
