#pragma once

#include <deque>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibState/snapshot_chunk.h"
#include "LibState/snapshot_policy.h"

namespace kcm::relay {

/// Publishes the state of each stream as snapshot records, well before the
/// log's retention drops the records that the state was folded from.
class SnapshotPublisher {
 public:
  explicit SnapshotPublisher(node::Node& node);

  /// Publishes the snapshots that are due; called periodically on the region's
  /// reader.
  auto PublishDueSnapshots() -> void;

 private:
  /// Snapshots of one stream, as read from the log.
  struct Progress {
    /// Records other than snapshot parts: all, and those a snapshot covers.
    std::int64_t records = 0;
    std::int64_t covered = 0;
    core::Millis covered_at = 0;
    /// Snapshot whose parts are being read, the parts read so far, and the
    /// records before its first part.
    std::string arriving;
    std::int64_t parts = 0;
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
