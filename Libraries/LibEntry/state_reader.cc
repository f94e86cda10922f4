#include "LibEntry/state_reader.h"

#include <iterator>
#include <utility>

namespace kcm::entry {

namespace {

using core::Millis;

constexpr Millis kReadTimeoutMs = 1000;
constexpr Millis kRetryPauseMs = 50;
/// The store's outages last seconds; a process that the store does not answer
/// for longer leaves the term to others.
constexpr Millis kMaxFailingMs = 4000;

}  // namespace

StateReader::StateReader(net::EventLoop& loop,
                         platform::KeyedStore& store,
                         Done done)
    : state_(std::make_shared<State>(
          State{loop, store, std::move(done), {}, {}, {}})) {}

auto StateReader::StoreOutageMs() const -> Millis {
  return state_->failing_since
             ? core::SuspendAwareNow() - *state_->failing_since
             : 0;
}

auto StateReader::Read(const std::shared_ptr<State>& state,
                       const std::string& after) -> void {
  state->store.ReadNewest(
      platform::Table::kState, after, kReadTimeoutMs,
      [weak = std::weak_ptr(state), after](platform::TableReadResult read) {
        if (const auto alive = weak.lock()) {
          OnPage(alive, after, std::move(read));
        }
      });
}

auto StateReader::OnPage(const std::shared_ptr<State>& state,
                         const std::string& after,
                         platform::TableReadResult read) -> void {
  if (!read.answered || read.IsStuckAfter(after)) {
    OnFailedRead(state, after);
    return;
  }
  state->failing_since.reset();
  if (state->end_offset.value_or(read.end_offset) != read.end_offset) {
    // A later term has begun.
    state->done(std::nullopt);
    return;
  }
  state->end_offset = read.end_offset;
  const auto last_key = read.rows.empty() ? after : read.rows.back().key;
  std::move(read.rows.begin(), read.rows.end(),
            std::back_inserter(state->rows));
  if (read.truncated) {
    Read(state, last_key);
    return;
  }
  state->done(std::move(state->rows));
}

auto StateReader::OnFailedRead(const std::shared_ptr<State>& state,
                               const std::string& after) -> void {
  const auto now = core::SuspendAwareNow();
  if (!state->failing_since) {
    state->failing_since = now;
  }
  if (now - *state->failing_since >= kMaxFailingMs) {
    state->done(std::nullopt);
    return;
  }
  state->loop.After(kRetryPauseMs, [weak = std::weak_ptr(state), after] {
    if (const auto alive = weak.lock()) {
      Read(alive, after);
    }
  });
}

}  // namespace kcm::entry
