#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibPlatform/keyed_store.h"

namespace kcm::entry {

/// In-memory store with the platform's rules for writers: an epoch fences lower
/// ones, and a repeated sequence number gets its first answer again.
class FakeStore : public platform::KeyedStore {
 public:
  explicit FakeStore(net::EventLoop& loop) : loop_(loop) {}

  auto Append(const std::vector<dispatch::StateRow>& rows,
              const platform::WriterFence& fence,
              std::optional<std::int64_t> expected_end,
              core::Millis timeout,
              AppendDone done) -> void override {
    ++appends;
    if (refuse) {
      loop_.After(1, [done] { done(platform::StoreAppendOutcome::kRefused); });
      return;
    }
    if (refuse_next_after_ms) {
      loop_.After(*std::exchange(refuse_next_after_ms, std::nullopt),
                  [done] { done(platform::StoreAppendOutcome::kRefused); });
      return;
    }
    const auto end = Apply(rows, fence, expected_end);
    const auto is_lost = silent || (lose_answers > 0 && lose_answers-- > 0) ||
                         append_ms > timeout;
    loop_.After(is_lost ? timeout : append_ms, [done, end, is_lost] {
      done(is_lost ? platform::StoreAppendOutcome::kUnknown : end);
    });
  }

  auto ReadNewest(platform::Table table,
                  const std::string& after,
                  core::Millis timeout,
                  ReadDone done) -> void override {
    std::ignore = timeout;
    platform::TableReadResult read;
    read.answered = !refuse;
    if (table == platform::Table::kState) {
      for (const auto& [key, value] : state) {
        if (key > after && read.rows.size() < page_rows) {
          read.rows.push_back({key, value});
        }
      }
      read.truncated =
          !read.rows.empty() && read.rows.back().key != state.rbegin()->first;
      // The term's row alone can be read even if the other rows cannot.
      read.answered = !refuse && (after >= "~" || !refuse_state_reads);
      rows_read += read.rows.size();
      read.end_offset = end_offset;
    } else {
      const auto& log = tables[table];
      read.rows.assign(log.begin(), log.end());
      read.end_offset = static_cast<std::int64_t>(log.size());
      read.truncated = without_last_page.contains(table) && after.empty();
      read.answered = !refuse && !unreadable_tables.contains(table) &&
                      (after.empty() || !without_last_page.contains(table));
    }
    if (unreadable_pages > 0) {
      --unreadable_pages;
      read.rows.clear();
      read.truncated = true;
    }
    loop_.After(1, [done, read] { done(read); });
  }

  auto ReadFrom(platform::Table table,
                std::int64_t offset,
                core::Millis wait,
                core::Millis timeout,
                ReadDone done) -> void override {
    std::ignore = timeout;
    platform::TableReadResult read;
    read.answered = !refuse && !unreadable_tables.contains(table);
    const auto& log = tables[table];
    read.end_offset = static_cast<std::int64_t>(log.size());
    for (auto index = static_cast<std::size_t>(offset);
         index < log.size() && read.rows.size() < change_rows; ++index) {
      read.rows.push_back(log[index]);
    }
    const auto is_delayed = delay_reads && wait > 0;
    loop_.After(is_delayed ? wait : 5, [done, read] { done(read); });
  }

  std::map<std::string, std::string> state;
  std::map<platform::Table, std::deque<dispatch::StateRow>> tables;
  std::int64_t end_offset = 0;
  int appends = 0;
  int lose_answers = 0;
  /// Answers of appends are lost.
  bool silent = false;
  /// Time until an append is answered.
  core::Millis append_ms = 1;
  bool refuse = false;
  /// The next append is refused after this time.
  std::optional<core::Millis> refuse_next_after_ms;
  /// Reads of changes that may be delayed are, and tell what was there before.
  bool delay_reads = false;
  /// Reads of more than the term's row fail.
  bool refuse_state_reads = false;
  /// Reads of these tables fail.
  std::set<platform::Table> unreadable_tables;
  /// A listing of these tables goes on after its first page, and the read of
  /// the next one fails.
  std::set<platform::Table> without_last_page;
  /// The next pages of newest rows have none that can be read, and are not the
  /// last ones.
  int unreadable_pages = 0;
  /// Maximum number of rows in one answer.
  std::size_t page_rows = 500;
  /// The same for a read of changes.
  std::size_t change_rows = 500;
  std::size_t rows_read = 0;

 private:
  auto Apply(const std::vector<dispatch::StateRow>& rows,
             const platform::WriterFence& fence,
             std::optional<std::int64_t> expected_end)
      -> platform::StoreAppendOutcome {
    if (fence.epoch < epoch_) {
      return platform::StoreAppendOutcome::kFenced;
    }
    if (fence.epoch == epoch_) {
      if (fence.sequence == sequence_) {
        return platform::StoreAppendOutcome::kAppended;
      }
      if (fence.sequence != sequence_ + 1) {
        return platform::StoreAppendOutcome::kFenced;
      }
    }
    if (expected_end && *expected_end != end_offset) {
      return platform::StoreAppendOutcome::kOffsetMismatch;
    }
    epoch_ = fence.epoch;
    sequence_ = fence.sequence;
    end_offset += static_cast<std::int64_t>(rows.size());
    for (const auto& row : rows) {
      if (row.value.empty()) {
        state.erase(row.key);
      } else {
        state[row.key] = row.value;
      }
    }
    return platform::StoreAppendOutcome::kAppended;
  }

  net::EventLoop& loop_;
  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;
};

}  // namespace kcm::entry
