#pragma once

#include <functional>
#include <string>
#include <vector>

#include "LibState/world.h"

namespace kcm::node {

/// A record that was just folded.
struct AppliedRecord {
  const std::string& stream;
  std::int64_t offset;
  /// The record as the log has it, members of newer versions included.
  const core::Json& raw;
  const state::Record& record;
  const state::Verdict& verdict;
};

/// Folds the log of one process and tells its tasks what was folded.
class LogState {
 public:
  using Listener = std::function<void(const AppliedRecord&)>;
  using SnapshotListener = std::function<void(const std::string& stream)>;

  explicit LogState(const std::vector<std::string>& data_centres)
      : world_(data_centres) {}

  [[nodiscard]] auto world() const -> const state::World& { return world_; }

  /// Calls `listener` after each folded record.
  auto OnApplied(Listener listener) -> void;

  /// Calls `listener` after a snapshot replaced a stream's state.
  auto OnSnapshot(SnapshotListener listener) -> void;

  /// Folds records; those already folded are skipped.
  /// @return false when `first_offset` lies beyond the next offset.
  auto ApplyRecords(const std::string& stream,
                    std::int64_t first_offset,
                    const std::vector<core::Json>& records) -> bool;

  /// Replaces a stream's state by a newer snapshot.
  auto ApplySnapshot(const std::string& stream, const core::Json& snapshot)
      -> void;

  /// @return the next offset of a stream, zero for an unknown one.
  [[nodiscard]] auto NextOffset(const std::string& stream) const
      -> std::int64_t;

 private:
  state::World world_;
  std::vector<Listener> listeners_;
  std::vector<SnapshotListener> snapshot_listeners_;
};

}  // namespace kcm::node
