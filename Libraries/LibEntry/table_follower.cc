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

}  // namespace

TableFollower::TableFollower(net::EventLoop& loop,
                             platform::KeyedStore& store,
                             FollowSettings settings,
                             OnRows on_rows)
    : state_(std::make_shared<State>(
          State{loop, store, settings, std::move(on_rows), {}, 0, 0, 0})) {
  ReadWhole(state_, "");
}

auto TableFollower::ReadWhole(const std::shared_ptr<State>& state,
                              const std::string& after) -> void {
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
  if (!read.answered) {
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
  if (read.truncated && last_key != after) {
    ReadWhole(state, last_key);
    return;
  }
  state->on_rows({std::exchange(state->pages, {}), true, std::nullopt});
  state->loop.After(state->settings.pause_ms, [weak = Weak(state)] {
    if (const auto alive = weak.lock()) {
      ReadChanges(alive);
    }
  });
}

auto TableFollower::ReadChanges(const std::shared_ptr<State>& state) -> void {
  state->store.ReadFrom(state->settings.table, state->offset,
                        state->settings.wait_ms, kReadTimeoutMs,
                        [weak = Weak(state), sent_at = core::SuspendAwareNow()](
                            platform::TableReadResult read) {
                          if (const auto alive = weak.lock()) {
                            OnChanges(alive, sent_at, std::move(read));
                          }
                        });
}

auto TableFollower::OnChanges(const std::shared_ptr<State>& state,
                              core::Millis sent_at,
                              platform::TableReadResult read) -> void {
  if (read.expired || (read.answered && read.first_offset > state->offset)) {
    ReadWhole(state, "");
    return;
  }
  if (!read.answered) {
    Retry(state, false);
    return;
  }
  state->answered_at = core::SuspendAwareNow();
  state->offset += static_cast<std::int64_t>(read.rows.size());
  const auto written_after = state->caught_up_at;
  if (state->offset >= read.end_offset) {
    state->caught_up_at = sent_at;
  }
  if (!read.rows.empty()) {
    state->on_rows({std::move(read.rows), false, written_after});
  }
  state->loop.After(state->settings.pause_ms, [weak = Weak(state)] {
    if (const auto alive = weak.lock()) {
      ReadChanges(alive);
    }
  });
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
