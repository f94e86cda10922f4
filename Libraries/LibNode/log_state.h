#pragma once

#include <functional>
#include <string>
#include <vector>

#include "LibState/cluster_state.h"

namespace kcm::node {

/// A record of the log that this process just applied to its state.
struct AppliedRecord {
  const std::string& stream;
  std::int64_t offset;
  /// The record as stored, including members unknown to this version.
  const core::Json& raw;
  const state::Record& record;
  /// Whether the record took effect, and if not, why.
  const state::ApplyResult& result;
};

/// One process's state, computed from the streams of the log, with listeners
/// for each applied record.
///
/// Each stream has a fold: the deterministic reducer that applies its records
/// to the state, with the same result in every process.
class LogState {
 public:
  using Listener = std::function<void(const AppliedRecord&)>;
  using SnapshotListener = std::function<void(const std::string& stream)>;

  explicit LogState(const std::vector<std::string>& data_centres)
      : cluster_state_(data_centres) {}

  /// @return the state of all streams.
  [[nodiscard]] auto cluster_state() const -> const state::ClusterState& {
    return cluster_state_;
  }

  /// Calls `listener` after each applied record.
  auto OnApplied(Listener listener) -> void;

  /// Calls `listener` after a snapshot replaced a stream's state.
  auto OnSnapshot(SnapshotListener listener) -> void;

  /// Applies records; those already applied are skipped.
  /// @return false, with nothing applied, if `first_offset` leaves a gap.
  auto ApplyRecords(const std::string& stream,
                    std::int64_t first_offset,
                    const std::vector<core::Json>& records) -> bool;

  /// Replaces a stream's state by a snapshot; ignores one that is older than
  /// the state.
  auto ApplySnapshot(const std::string& stream, const core::Json& snapshot)
      -> void;

  /// @return the next offset of a stream, or zero for an unknown stream.
  [[nodiscard]] auto NextOffset(const std::string& stream) const
      -> std::int64_t;

 private:
  state::ClusterState cluster_state_;
  std::vector<Listener> listeners_;
  std::vector<SnapshotListener> snapshot_listeners_;
};

}  // namespace kcm::node
