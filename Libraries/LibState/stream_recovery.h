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

/// Where a stream whose first records expired can be folded from.
struct RecoveryPoint {
  core::Json snapshot;
  /// Offset of the first of `records`; the one that the snapshot expects.
  std::int64_t first_offset = 0;
  std::vector<core::Json> records;
};

/// Reads a stream from its earliest offset until a whole snapshot is found.
///
/// A snapshot counts only when all its parts are there, its checksum holds and
/// the records that it does not cover are all still kept. A torn one is passed
/// over; the next whole one serves.
class StreamRecovery {
 public:
  /// Starts to read.
  /// @param earliest_offset oldest offset that the log still keeps.
  explicit StreamRecovery(std::int64_t earliest_offset)
      : first_offset_(earliest_offset) {}

  /// @return the offset to read next.
  [[nodiscard]] auto next_offset() const -> std::int64_t {
    return first_offset_ + static_cast<std::int64_t>(records_.size());
  }

  /// Takes the record at next_offset().
  /// @return where to fold from, once a whole snapshot was seen.
  [[nodiscard]] auto Add(const core::Json& raw) -> std::optional<RecoveryPoint>;

 private:
  [[nodiscard]] auto Assemble(const SnapshotChunk& last) const
      -> std::optional<core::Json>;

  std::int64_t first_offset_;
  std::deque<core::Json> records_;
  /// Parts seen so far, by snapshot and number.
  std::map<std::string, std::map<std::int64_t, SnapshotChunk>> parts_;
};

}  // namespace kcm::state
