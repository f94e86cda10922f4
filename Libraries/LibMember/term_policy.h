#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// A process that may hold a term.
struct Candidate {
  std::string name;
  bool alive = false;
};

/// Input of ShouldClaim(), as one candidate sees it.
struct ClaimView {
  std::string self;
  /// Current term holder; empty when no term was claimed yet.
  std::string holder;
  bool holder_alive = false;
  /// Time since this process started or resumed from a pause.
  core::Millis running_ms = 0;
  /// In the order of preference.
  std::vector<Candidate> candidates;
};

/// Decides whether this process should claim the next term.
///
/// Only the first live candidate claims, so that concurrent claims are rare;
/// the order of the log decides between them.
/// @return true when a claim should be appended now.
[[nodiscard]] auto ShouldClaim(const ClaimView& view) -> bool;

}  // namespace kcm::member
