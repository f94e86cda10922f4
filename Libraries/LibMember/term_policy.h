#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// A process that may hold a term, in the order of preference.
struct Candidate {
  std::string name;
  bool alive = false;
};

/// What a candidate knows when it decides whether to claim.
struct ClaimView {
  std::string self;
  /// Present holder; empty when no term was claimed yet.
  std::string holder;
  bool holder_alive = false;
  /// Time since this process started or woke from a pause.
  core::Millis settled_ms = 0;
  std::vector<Candidate> candidates;
};

/// Decides whether this process should claim the next term.
///
/// Only the first live candidate claims, so that takeovers seldom race; a
/// race is settled by the order of the log.
/// @return true when a claim should be appended now.
[[nodiscard]] auto ShouldClaim(const ClaimView& view) -> bool;

}  // namespace kcm::member
