#include "LibEntry/table_follower.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace kcm::entry {

namespace {

/// An answer takes a few milliseconds plus a round trip between regions; a slow
/// store takes some hundred milliseconds.
constexpr core::Millis kReadTimeoutMs = 700;
constexpr core::Millis kFollowRetryMs = 150;
/// Least time between two reads by ReadNow(), which callers can cause.
constexpr core::Millis kReadNowPauseMs = 100;

}  // namespace

TableFollower::TableFollower(net::EventLoop& loop,
                             platform::KeyedStore& store,
                             FollowSettings settings,
                             OnRows on_rows,
                             OnRead on_read)
    : state_(std::make_shared<State>(State{
          loop, store, settings, std::move(on_rows), std::move(on_read)})) {
  ReadWhole(state_, "");
}

auto TableFollower::ReadNow() -> void {
  const auto now = core::SuspendAwareNow();
  if (!state_->reads_changes || state_->read_now_in_flight ||
      now - state_->read_now_at < kReadNowPauseMs) {
    return;
  }
  state_->read_now_at = now;
  state_->read_now_in_flight = true;
  state_->store.ReadFrom(
      state_->settings.table, state_->offset, 0, kReadTimeoutMs,
      [weak = Weak(state_), sent = ChangesRead{state_->offset, now}](
          platform::TableReadResult read) {
        const auto alive = weak.lock();
        if (alive == nullptr) {
          return;
        }
        alive->read_now_in_flight = false;
        // What else may have happened is found by the other read. During a
        // listing the offset is the one of its first page, whose rows and those
        // of the later pages are not passed on yet.
        if (read.answered && alive->reads_changes &&
            read.first_offset <= alive->offset) {
          ApplyChanges(alive, sent, std::move(read));
        }
      });
}

auto TableFollower::ReadWhole(const std::shared_ptr<State>& state,
                              const std::string& after) -> void {
  state->reads_changes = false;
  state->store.ReadNewest(
      state->settings.table, after, kReadTimeoutMs,
      [weak = Weak(state), after,
       sent_at = core::SuspendAwareNow()](platform::TableReadResult read) {
        if (const auto alive = weak.lock()) {
          OnPage(alive, after, sent_at, std::move(read));
        }
      });
}

auto TableFollower::OnPage(const std::shared_ptr<State>& state,
                           const std::string& after,
                           core::Millis sent_at,
                           platform::TableReadResult read) -> void {
  state->is_store_away = !read.answered;
  if (!read.answered || read.IsStuckAfter(after)) {
    Retry(state, true);
    return;
  }
  state->answered_at = core::SuspendAwareNow();
  if (after.empty()) {
    state->pages.clear();
    // Later pages may contain newer rows; reading from here repeats them.
    state->offset = read.end_offset;
    state->caught_up_at = sent_at;
  }
  const auto last_key = read.rows.empty() ? after : read.rows.back().key;
  std::move(read.rows.begin(), read.rows.end(),
            std::back_inserter(state->pages));
  if (read.truncated) {
    ReadWhole(state, last_key);
    return;
  }
  state->on_rows({std::exchange(state->pages, {}), true, std::nullopt});
  state->reads_changes = true;
  state->current_as_of = state->caught_up_at;
  if (state->on_read) {
    state->on_read();
  }
  state->loop.After(state->settings.pause_ms, [weak = Weak(state)] {
    if (const auto alive = weak.lock()) {
      ReadChanges(alive);
    }
  });
}

auto TableFollower::ReadChanges(const std::shared_ptr<State>& state) -> void {
  const ChangesRead sent{state->offset, core::SuspendAwareNow()};
  state->store.ReadFrom(
      state->settings.table, sent.from, state->settings.wait_ms, kReadTimeoutMs,
      [weak = Weak(state), sent](platform::TableReadResult read) {
        if (const auto alive = weak.lock()) {
          OnChanges(alive, sent, std::move(read));
        }
      });
}

auto TableFollower::OnChanges(const std::shared_ptr<State>& state,
                              const ChangesRead& sent,
                              platform::TableReadResult read) -> void {
  if (read.expired || (read.answered && read.first_offset > state->offset)) {
    ReadWhole(state, "");
    return;
  }
  state->is_store_away = !read.answered;
  if (!read.answered) {
    Retry(state, false);
    return;
  }
  ApplyChanges(state, sent, std::move(read));
  state->loop.After(state->settings.pause_ms, [weak = Weak(state)] {
    if (const auto alive = weak.lock()) {
      ReadChanges(alive);
    }
  });
}

auto TableFollower::ApplyChanges(const std::shared_ptr<State>& state,
                                 const ChangesRead& sent,
                                 platform::TableReadResult read) -> void {
  state->answered_at = core::SuspendAwareNow();
  const auto written_after = state->caught_up_at;
  // Rows that another read has returned first are already passed on.
  const auto is_next = sent.from == state->offset;
  state->offset += is_next ? static_cast<std::int64_t>(read.rows.size()) : 0;
  const auto has_all = state->offset >= read.end_offset;
  if (has_all) {
    state->caught_up_at = std::max(state->caught_up_at, sent.sent_at);
  }
  if (is_next && !read.rows.empty()) {
    state->on_rows({std::move(read.rows), false, written_after});
  }
  if (has_all) {
    state->current_as_of = state->caught_up_at;
  }
  if (state->on_read) {
    state->on_read();
  }
}

auto TableFollower::Retry(const std::shared_ptr<State>& state, bool whole)
    -> void {
  state->loop.After(kFollowRetryMs, [weak = Weak(state), whole] {
    const auto alive = weak.lock();
    if (alive != nullptr && whole) {
      ReadWhole(alive, "");
    } else if (alive != nullptr) {
      ReadChanges(alive);
    }
  });
}

}  // namespace kcm::entry
