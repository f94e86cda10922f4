#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "LibCore/json.h"
#include "LibState/record.h"
#include "LibState/verdict.h"

namespace kcm::state {

/// Turns one stream of the log into state.
///
/// The fold is pure: the same records give the same state and the same
/// verdicts in every process. Subclasses decide one record at a time.
class Fold {
 public:
  virtual ~Fold() = default;

  /// Applies the record at `offset`, which must be the next one.
  /// @return whether the record took effect, and why not.
  auto Apply(std::int64_t offset, const Record& record) -> Verdict;

  /// @return the offset that Apply() expects next.
  [[nodiscard]] auto next_offset() const -> std::int64_t {
    return next_offset_;
  }

  /// Writes state, offset and the ids seen lately as one document.
  [[nodiscard]] auto ToSnapshot() const -> core::Json;

  /// Replaces the state by a snapshot that is not older.
  /// @return whether the snapshot was taken.
  auto LoadSnapshot(const core::Json& snapshot) -> bool;

  /// @return a digest of all verdicts so far, equal in all processes at one
  ///     offset; cheap enough to be compared all the time.
  [[nodiscard]] auto chain() const -> std::uint64_t { return chain_; }

  /// @return a digest of the state, equal in all processes at one offset.
  [[nodiscard]] auto Digest() const -> std::string;

 protected:
  /// Decides one record that was not seen before.
  virtual auto Decide(const Record& record) -> Verdict = 0;
  [[nodiscard]] virtual auto StateToJson() const -> core::Json = 0;
  virtual auto StateFromJson(const core::Json& document) -> void = 0;

 private:
  auto Judge(const Record& record) -> Verdict;
  auto TakeUnknown(const std::vector<core::Json>& documents) -> void;
  auto Remember(const std::string& id) -> void;

  std::int64_t next_offset_ = 0;
  std::uint64_t chain_ = 0;
  /// Records of newer versions, whole; a snapshot hands them on.
  std::vector<core::Json> unknown_;
  std::deque<std::string> recent_ids_;
  std::unordered_set<std::string> known_ids_;
};

}  // namespace kcm::state
