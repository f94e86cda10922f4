#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibEntry/holder_view.h"

namespace kcm::entry {

struct ElectionSettings {
  /// Time without contact after which a holder counts as lost: three
  /// heartbeats.
  core::Millis holder_timeout_ms = 900;
  /// How long the holder's appends may fail before it is replaced; it sends
  /// some copies of them within this time.
  core::Millis store_outage_ms = 700;
  /// How long a process without contact to any peer watches the store before
  /// it claims: a live holder renews its term at least once in this time.
  core::Millis isolated_watch_ms = 2000;
  /// How long a claim watches the store if it was away here too. The holder,
  /// which sends its append again more often than that, then keeps its term
  /// when the store is back.
  core::Millis outage_watch_ms = 350;
  /// Pause after a failed claim.
  core::Millis claim_retry_ms = 400;
};

/// Parameters of a claim that is to be made now.
struct ClaimPlan {
  /// Time between the read and the conditional append, in which any append of
  /// a live holder makes the claim fail.
  core::Millis watch_ms = 0;
};

/// Decides when a process that does not hold the term claims it.
///
/// A claim is safe at any time, because the store accepts it only if nothing
/// was appended since the state was read, and then fences the previous holder.
/// The election only has to avoid needless changes of the holder.
class Election {
 public:
  /// @param claim_delay how long the term must be vacant before a claim;
  ///     differs between processes, so that they do not claim at once.
  Election(ElectionSettings settings, core::Millis claim_delay)
      : settings_(settings), claim_delay_(claim_delay) {}

  auto set_claim_delay(core::Millis claim_delay) -> void {
    claim_delay_ = claim_delay;
  }

  /// @param last_peer_contact_at time of the last heartbeat of any peer.
  /// @return the claim to make now, or nothing.
  [[nodiscard]] auto PlanClaim(const HolderView& holder,
                               core::Millis last_peer_contact_at,
                               bool has_peers,
                               core::Millis now) -> std::optional<ClaimPlan>;

  /// A term that ends later counts as vacant from then on.
  auto RecordClaimWon() -> void {
    vacant_since_.reset();
    store_was_away_ = false;
  }

  /// @return whether no process is known to hold the term and to do its work.
  [[nodiscard]] auto IsVacant(const HolderView& holder, core::Millis now) const
      -> bool;

  /// @param store_away the store did not answer the claim.
  auto RecordClaimFailure(core::Millis now, bool store_away = false) -> void {
    blocked_until_ = now + settings_.claim_retry_ms;
    vacant_since_.reset();
    store_was_away_ = store_away;
  }

 private:
  ElectionSettings settings_;
  core::Millis claim_delay_;
  std::optional<core::Millis> vacant_since_;
  core::Millis blocked_until_ = 0;
  /// The store did not answer the last claim, made since the term is vacant.
  bool store_was_away_ = false;
};

}  // namespace kcm::entry
