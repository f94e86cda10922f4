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

  TableFollower(net::EventLoop& loop,
                platform::KeyedStore& store,
                FollowSettings settings,
                OnRows on_rows);

  /// @return when the store last answered, on the steady clock; zero if never.
  [[nodiscard]] auto answered_at() const -> core::Millis {
    return state_->answered_at;
  }

 private:
  /// Held weakly by reads in flight, which may end after the follower.
  struct State {
    net::EventLoop& loop;
    platform::KeyedStore& store;
    FollowSettings settings;
    OnRows on_rows;
    /// Rows of the pages read so far.
    std::vector<dispatch::StateRow> pages;
    std::int64_t offset = 0;
    /// When the newest read was sent that returned all records there were:
    /// those from `offset` on were written later.
    core::Millis caught_up_at = 0;
    core::Millis answered_at = 0;
  };
  using Weak = std::weak_ptr<State>;

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
                        core::Millis sent_at,
                        platform::TableReadResult read) -> void;

  std::shared_ptr<State> state_;
};

}  // namespace kcm::entry
