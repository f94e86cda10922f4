#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "LibPlatform/keyed_store.h"

namespace kcm::entry {

/// Store whose reads are answered when the test says so.
class ManualStore : public platform::KeyedStore {
 public:
  /// A read that was sent.
  struct Read {
    std::string after;
    std::int64_t from = 0;
    ReadDone done;
  };

  auto Append(const std::vector<dispatch::StateRow>& rows,
              const platform::WriterFence& fence,
              std::optional<std::int64_t> expected_end,
              core::Millis timeout,
              AppendDone done) -> void override {
    std::ignore = std::tuple(rows, fence, expected_end, timeout);
    done(platform::StoreAppendOutcome::kRefused);
  }

  auto ReadNewest(platform::Table table,
                  const std::string& after,
                  core::Millis timeout,
                  ReadDone done) -> void override {
    std::ignore = std::tuple(table, timeout);
    pages.push_back({after, 0, std::move(done)});
  }

  auto ReadFrom(platform::Table table,
                std::int64_t offset,
                core::Millis wait,
                core::Millis timeout,
                ReadDone done) -> void override {
    std::ignore = std::tuple(table, wait, timeout);
    changes.push_back({"", offset, std::move(done)});
  }

  /// @return the answer to a read that returns these rows.
  static auto AnswerOf(std::vector<dispatch::StateRow> rows,
                       std::int64_t end_offset,
                       bool truncated = false) -> platform::TableReadResult {
    platform::TableReadResult read;
    read.answered = true;
    read.rows = std::move(rows);
    read.end_offset = end_offset;
    read.truncated = truncated;
    return read;
  }

  /// @return the answer to a read of records that the store has deleted.
  static auto Expired() -> platform::TableReadResult {
    platform::TableReadResult read;
    read.expired = true;
    return read;
  }

  /// Reads of pages and of changes, in the order in which they were sent.
  std::vector<Read> pages;
  std::vector<Read> changes;
};

}  // namespace kcm::entry
