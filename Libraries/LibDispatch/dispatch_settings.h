#pragma once

#include <cstddef>
#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Limits that the platform's contract sets.
struct DispatchSettings {
  /// Interval between two heartbeats of a worker in its listing, which expires
  /// after kExpiryHeartbeats of them without one; zero if unknown.
  core::Millis heartbeat_ms = 1500;
  static constexpr core::Millis kExpiryHeartbeats = 3;
  /// Longest lease that a worker accepts from the term holder.
  core::Millis max_lease_ms = 6000;
  /// A worker ends a member of a gang that has waited this long for the other
  /// members to start.
  core::Millis gang_timeout_ms = 3000;
  /// Upper bound on the time from acceptance to start of guaranteed work, for
  /// which capacity is reclaimed by evictions.
  core::Millis reclaim_ms = 2700;
  /// How long the status of an ended job remains available.
  core::Millis status_ms = 120000;
  /// Longest interval between two checkpoints of a run that saves them.
  core::Millis checkpoint_ms = 2000;
  /// Time that a run takes to resume from a checkpoint.
  core::Millis restore_ms = 100;
  /// How many times as long tasks take outside of the rack that they prefer.
  double remote_factor = 3;
  /// Longest row that the store takes, and longest append.
  std::size_t max_row_bytes = std::size_t{256} * 1024;
  std::size_t max_append_bytes = std::size_t{2} * 1024 * 1024;
  /// Tasks that ask for next to nothing are not started beside this many runs
  /// of any kind, each of which takes memory of the holder.
  std::int64_t max_small_runs = 32768;
  /// Orders waiting jobs also by the shares of their accounts; see
  /// docs/design/account-order.md.
  bool orders_by_account = true;
};

}  // namespace kcm::dispatch
