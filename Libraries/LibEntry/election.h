#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibEntry/holder_belief.h"

namespace kcm::entry {

/// Spans of the election.
struct ElectionSettings {
  /// Silence after which a holder counts as lost: three beats.
  core::Millis holder_silence_ms = 900;
  /// Span for which a holder may be without the store before it is replaced:
  /// an append of it is repeated within that span.
  core::Millis storeless_ms = 1000;
  /// A process that hears nobody watches the store for this long before it
  /// claims: a living holder renews its term there at least once in it.
  core::Millis isolated_watch_ms = 2000;
  /// Pause after a claim that failed.
  core::Millis retry_ms = 400;
};

/// A claim of the term that is to be made now.
struct ClaimPlan {
  /// Span between reading the state and the conditional append, in which a
  /// living holder would show.
  core::Millis watch_ms = 0;
};

/// Decides when a process that does not hold the term claims it.
///
/// A claim is safe at any time, because the store takes it only if nothing was
/// appended since the state was read and shuts the former holder out. The
/// election only has to avoid needless changes.
class Election {
 public:
  /// @param rank delay before this process claims, so that processes of one
  ///     deployment do not claim at the same time.
  Election(ElectionSettings settings, core::Millis rank)
      : settings_(settings), rank_(rank) {}

  auto set_rank(core::Millis rank) -> void { rank_ = rank; }

  /// @param belief what is known of the holder.
  /// @param peer_heard_at when any other process last answered.
  /// @param has_peers whether other processes are known at all.
  /// @return the claim to make now, or nothing.
  [[nodiscard]] auto Decide(const HolderBelief& belief,
                            core::Millis peer_heard_at,
                            bool has_peers,
                            core::Millis now) -> std::optional<ClaimPlan>;

  auto ClaimFailed(core::Millis now) -> void {
    blocked_until_ = now + settings_.retry_ms;
    vacant_since_.reset();
  }

 private:
  [[nodiscard]] auto IsVacant(const HolderBelief& belief,
                              core::Millis now) const -> bool;

  ElectionSettings settings_;
  core::Millis rank_;
  std::optional<core::Millis> vacant_since_;
  core::Millis blocked_until_ = 0;
};

}  // namespace kcm::entry
