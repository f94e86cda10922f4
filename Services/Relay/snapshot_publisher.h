#pragma once

#include <deque>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibState/snapshot_chunk.h"
#include "LibState/snapshot_policy.h"

namespace kcm::relay {

/// Publishes the state of each stream as snapshot records, long before the
/// log's retention takes the records that it came from.
class SnapshotPublisher {
 public:
  explicit SnapshotPublisher(node::Node& node);

  /// Publishes what is due; to be called regularly on the region's reader.
  auto Publish() -> void;

 private:
  /// What was seen of a stream's snapshots.
  struct Progress {
    /// Records other than parts of snapshots, seen and covered.
    std::int64_t records = 0;
    std::int64_t covered = 0;
    core::Millis covered_at = 0;
    /// Snapshot whose parts arrive now, how many did, and the records seen
    /// before the first of them.
    std::string arriving;
    std::int64_t parts = 0;
    std::int64_t records_before = 0;
    /// Own parts that were not yet appended.
    std::deque<state::SnapshotChunk> unsent;
    bool publishing = false;
  };

  auto OnApplied(const node::AppliedRecord& applied) -> void;
  [[nodiscard]] auto IsDue(const std::string& stream,
                           const Progress& progress) const -> bool;
  auto AppendNext(const std::string& stream) -> void;

  node::Node& node_;
  state::SnapshotSettings settings_;
  std::int64_t rank_ = 0;
  std::map<std::string, Progress> progress_;
};

}  // namespace kcm::relay
