#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "LibCore/clock.h"
#include "LibNet/event_loop.h"

namespace kcm::entry {

/// What the reads of the configuration show about the routes in force here.
struct RoutesAge {
  /// When the newest read was sent that returned all versions; on the
  /// suspend-aware clock, zero if none has.
  core::Millis current_as_of = 0;
  /// The newest read that has ended got no answer, so that a further one may
  /// not either.
  bool is_store_away = false;
};

/// Confirms that the routes in force here are the newest ones in the store.
///
/// A refusal that rests on the routes is final for its caller, so it needs a
/// confirmation: a process that was paused, or that the store does not answer,
/// may lack a version by which the call is allowed. After a pause any call
/// needs one, for a short time: a version that the process lacks may forbid it.
class RoutesConfirmation {
 public:
  using Done = std::function<void(bool confirmed)>;

  /// @param age called for each confirmation.
  /// @param read_now reads the configuration without delay; OnRead() follows
  ///     if the store answers.
  RoutesConfirmation(net::EventLoop& loop,
                     std::function<RoutesAge()> age,
                     std::function<void()> read_now)
      : loop_(loop), age_(std::move(age)), read_now_(std::move(read_now)) {}

  /// @param max_wait the longest time until `done` is called.
  /// @param done called once: at once if the newest confirmation is recent, and
  ///     else after a read or, without one in time, with false.
  auto Await(core::Millis max_wait, Done done) -> void;

  /// Calls all that wait with false, and later ones at once unless the newest
  /// confirmation is recent: this process exits.
  auto Close() -> void;

  /// Notices a pause of this process; called by each of its ticks.
  auto CheckPause() -> void;

  /// @return whether this process was paused a moment ago and has not read the
  ///     configuration since.
  [[nodiscard]] auto IsDoubtful() -> bool;

  /// The store has answered a read of the configuration, whose rows are
  /// applied.
  auto OnRead() -> void;

  /// @return the time since the newest confirmation; nothing without one.
  [[nodiscard]] auto AgeMs() const -> std::optional<core::Millis>;

 private:
  [[nodiscard]] auto IsRecent() const -> bool;

  net::EventLoop& loop_;
  std::function<RoutesAge()> age_;
  std::function<void()> read_now_;
  core::Millis last_event_at_ = core::SuspendAwareNow();
  /// When the newest pause was noticed; zero for none.
  core::Millis resumed_at_ = 0;
  bool closed_ = false;
  std::int64_t next_waiter_ = 0;
  std::map<std::int64_t, Done> waiters_;
};

}  // namespace kcm::entry
