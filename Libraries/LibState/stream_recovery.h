#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibState/record.h"
#include "LibState/snapshot_chunk.h"

namespace kcm::state {

/// Starting point to fold a stream whose first records expired.
struct RecoveryPoint {
  core::Json snapshot;
  /// Offset of the first of `records`; the first that `snapshot` lacks.
  std::int64_t first_offset = 0;
  std::vector<core::Json> records;
};

/// Reads a stream whose first records expired, from its earliest offset until a
/// complete snapshot is found. Unrelated to Recovery, which concerns jobs.
///
/// A snapshot is used only when all its parts are present, its checksum matches
/// and all records that it does not cover are still retained. An incomplete
/// snapshot is skipped in favour of the next complete one.
class StreamRecovery {
 public:
  /// @param earliest_offset oldest offset that the log still retains.
  explicit StreamRecovery(std::int64_t earliest_offset)
      : first_offset_(earliest_offset) {}

  /// @return the offset to read next.
  [[nodiscard]] auto next_offset() const -> std::int64_t {
    return first_offset_ + static_cast<std::int64_t>(records_.size());
  }

  /// Adds the record at next_offset().
  /// @return the starting point, once a complete snapshot was read.
  [[nodiscard]] auto Add(const core::Json& raw) -> std::optional<RecoveryPoint>;

 private:
  [[nodiscard]] auto Assemble(const SnapshotChunk& last) const
      -> std::optional<core::Json>;

  std::int64_t first_offset_;
  std::deque<core::Json> records_;
  /// Parts read so far, by snapshot and number.
  std::map<std::string, std::map<std::int64_t, SnapshotChunk>> parts_;
};

}  // namespace kcm::state
