#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibPlatform/keyed_store.h"

namespace kcm::entry {

/// Table to follow and timing of the reads.
struct FollowSettings {
  platform::Table table = platform::Table::kConfiguration;
  /// How long the store may delay the answer to a read of changes while there
  /// are none.
  core::Millis wait_ms = 0;
  /// Pause between two reads.
  core::Millis pause_ms = 0;
};

/// Rows of one answer of the store.
struct RowBatch {
  std::vector<dispatch::StateRow> rows;
  /// The rows are the complete table, not changes.
  bool whole = false;
  /// All rows were written after this time, on the suspend-aware clock; nothing
  /// if that is not known.
  std::optional<core::Millis> written_after;
};

/// Reads a complete table and then its changes until it is destroyed.
///
/// Each change is a record, which the store deletes after its retention time.
/// If that happens before it is read, the complete table is read again.
class TableFollower {
 public:
  using OnRows = std::function<void(const RowBatch& batch)>;
  using OnRead = std::function<void()>;

  /// @param on_read called after each answered read, whose rows have been
  ///     passed to `on_rows`; may be empty.
  TableFollower(net::EventLoop& loop,
                platform::KeyedStore& store,
                FollowSettings settings,
                OnRows on_rows,
                OnRead on_read = nullptr);

  /// Reads the changes at once, beside the read whose answer the store may
  /// delay. Does nothing while such a read is in flight or was sent a moment
  /// ago, and before the complete table is read.
  auto ReadNow() -> void;

  /// @return when the store last answered, on the steady clock; zero if never.
  [[nodiscard]] auto answered_at() const -> core::Millis {
    return state_->answered_at;
  }
  /// @return when the newest read was sent after which all rows that there were
  ///     have been passed on, on the suspend-aware clock; zero before that.
  [[nodiscard]] auto current_as_of() const -> core::Millis {
    return state_->current_as_of;
  }
  /// @return whether the newest read that has ended got no answer.
  [[nodiscard]] auto is_store_away() const -> bool {
    return state_->is_store_away;
  }

 private:
  /// Held weakly by reads in flight, which may end after the follower.
  struct State {
    net::EventLoop& loop;
    platform::KeyedStore& store;
    FollowSettings settings;
    OnRows on_rows;
    OnRead on_read;
    /// Rows of the pages read so far.
    std::vector<dispatch::StateRow> pages{};
    std::int64_t offset = 0;
    /// When the newest read was sent that returned all records there were:
    /// those from `offset` on were written later.
    core::Millis caught_up_at = 0;
    core::Millis answered_at = 0;
    core::Millis current_as_of = 0;
    bool is_store_away = false;
    /// The complete table has been read, and its changes are.
    bool reads_changes = false;
    /// When ReadNow() last sent a read, and whether it is in flight.
    core::Millis read_now_at = 0;
    bool read_now_in_flight = false;
  };
  using Weak = std::weak_ptr<State>;

  /// A read of changes, as sent.
  struct ChangesRead {
    std::int64_t from = 0;
    core::Millis sent_at = 0;
  };

  static auto ReadWhole(const std::shared_ptr<State>& state,
                        const std::string& after) -> void;
  static auto ReadChanges(const std::shared_ptr<State>& state) -> void;
  static auto Retry(const std::shared_ptr<State>& state, bool whole) -> void;
  /// @param sent_at when the read was sent, on the suspend-aware clock.
  static auto OnPage(const std::shared_ptr<State>& state,
                     const std::string& after,
                     core::Millis sent_at,
                     platform::TableReadResult read) -> void;
  static auto OnChanges(const std::shared_ptr<State>& state,
                        const ChangesRead& sent,
                        platform::TableReadResult read) -> void;
  /// Passes the rows of an answered read of changes on.
  static auto ApplyChanges(const std::shared_ptr<State>& state,
                           const ChangesRead& sent,
                           platform::TableReadResult read) -> void;

  std::shared_ptr<State> state_;
};

}  // namespace kcm::entry
