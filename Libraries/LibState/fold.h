#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "LibCore/json.h"
#include "LibState/apply_result.h"
#include "LibState/record.h"

namespace kcm::state {

/// Deterministic reducer: applies the records of one stream of the log to a
/// state.
///
/// The same records give the same state and the same results in every process.
/// Subclasses apply one record at a time.
class Fold {
 public:
  virtual ~Fold() = default;

  /// Applies the record at `offset`, which must be the next one.
  /// @return whether the record was accepted, and why not.
  auto Apply(std::int64_t offset, const Record& record) -> ApplyResult;

  /// @return the offset that Apply() expects next.
  [[nodiscard]] auto next_offset() const -> std::int64_t {
    return next_offset_;
  }

  /// @return state, offset and recent record ids as one document.
  [[nodiscard]] auto ToSnapshot() const -> core::Json;

  /// Replaces the state by a snapshot that is not older.
  /// @return whether the snapshot was loaded.
  auto LoadSnapshot(const core::Json& snapshot) -> bool;

  /// @return a running digest of the record ids and whether each was accepted,
  ///     equal in all processes at one offset; cheap enough for continuous
  ///     comparison.
  [[nodiscard]] auto results_digest() const -> std::uint64_t { return chain_; }

  /// @return a digest of the state, equal in all processes at one offset.
  [[nodiscard]] auto Digest() const -> std::string;

 protected:
  /// Applies one record that was not appended before.
  virtual auto ApplyToState(const Record& record) -> ApplyResult = 0;
  [[nodiscard]] virtual auto StateToJson() const -> core::Json = 0;
  virtual auto StateFromJson(const core::Json& document) -> void = 0;

 private:
  auto ApplyOnce(const Record& record) -> ApplyResult;
  auto LoadUnknownRecords(const std::vector<core::Json>& documents) -> void;
  auto RememberId(const std::string& id) -> void;

  std::int64_t next_offset_ = 0;
  std::uint64_t chain_ = 0;
  /// Complete records of newer versions; part of the snapshot.
  std::vector<core::Json> unknown_records_;
  std::deque<std::string> recent_ids_;
  std::unordered_set<std::string> known_ids_;
};

}  // namespace kcm::state
