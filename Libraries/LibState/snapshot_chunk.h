#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/json.h"

namespace kcm::state {

/// Body of one kSnapshot record: a part of a stream's state.
struct SnapshotChunk {
  /// Id of the snapshot that the part belongs to.
  std::string snapshot;
  /// Offset of the first record that the snapshot does not cover.
  std::int64_t covers = 0;
  std::int64_t part = 0;
  std::int64_t parts = 1;
  /// SHA-256 of the whole text.
  std::string sha256;
  std::string text;
};

KCM_JSON(SnapshotChunk, snapshot, covers, part, parts, sha256, text)

/// Splits a snapshot of Fold::ToSnapshot() into parts of bounded size.
[[nodiscard]] auto SplitSnapshot(const core::Json& snapshot)
    -> std::vector<SnapshotChunk>;

}  // namespace kcm::state
