#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "LibCore/json.h"

namespace kcm::relay {

/// The latest records of one stream, for followers that are slightly behind.
class LogBuffer {
 public:
  /// Appends a record; drops the oldest when the buffer is full.
  auto Add(std::int64_t offset, core::Json record) -> void;

  /// Drops all records; the next one may have any offset.
  auto Clear() -> void;

  /// @return up to `limit` records from `offset` on, or nothing when some of
  ///     them were dropped or the buffer is empty.
  [[nodiscard]] auto RecordsFrom(std::int64_t offset, std::size_t limit) const
      -> std::optional<std::vector<core::Json>>;

 private:
  std::int64_t first_offset_ = 0;
  std::deque<core::Json> records_;
};

}  // namespace kcm::relay
