#include "LibEntry/routes_confirmation.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

using core::Millis;

/// The store ends a read of the configuration after a second at the latest, and
/// at once when there is a newer version.
constexpr Millis kMaxAgeMs = 1500;
/// A process without a tick for this long, many times their interval, was
/// paused.
constexpr Millis kPauseMs = 600;
/// Longest wait for a read: some round trips between regions.
constexpr Millis kMaxWaitMs = 500;
/// The same while the store does not answer, as it may not for seconds.
constexpr Millis kMaxWaitInOutageMs = 100;

}  // namespace

auto RoutesConfirmation::AgeMs() const -> std::optional<Millis> {
  const auto current_as_of = age_().current_as_of;
  if (current_as_of == 0) {
    return std::nullopt;
  }
  return core::SuspendAwareNow() - current_as_of;
}

auto RoutesConfirmation::IsRecent() const -> bool {
  const auto age = AgeMs();
  return age && *age <= kMaxAgeMs && age_().current_as_of >= resumed_at_;
}

auto RoutesConfirmation::CheckPause() -> void {
  const auto now = core::SuspendAwareNow();
  if (now - std::exchange(last_event_at_, now) > kPauseMs) {
    resumed_at_ = now;
  }
}

auto RoutesConfirmation::IsDoubtful() -> bool {
  CheckPause();
  return resumed_at_ > 0 && age_().current_as_of < resumed_at_ &&
         core::SuspendAwareNow() < resumed_at_ + kMaxWaitMs;
}

auto RoutesConfirmation::Await(Millis max_wait, Done done) -> void {
  if (IsRecent()) {
    done(true);
    return;
  }
  if (closed_) {
    done(false);
    return;
  }
  const auto waiter = next_waiter_++;
  waiters_.emplace(waiter, std::move(done));
  const auto longest = age_().is_store_away ? kMaxWaitInOutageMs : kMaxWaitMs;
  loop_.After(std::min(max_wait, longest), [this, waiter] {
    if (auto node = waiters_.extract(waiter)) {
      node.mapped()(false);
    }
  });
  read_now_();
}

auto RoutesConfirmation::Close() -> void {
  closed_ = true;
  for (const auto& [waiter, done] : std::exchange(waiters_, {})) {
    done(false);
  }
}

auto RoutesConfirmation::OnRead() -> void {
  if (!IsRecent()) {
    return;
  }
  for (const auto& [waiter, done] : std::exchange(waiters_, {})) {
    done(true);
  }
}

}  // namespace kcm::entry
