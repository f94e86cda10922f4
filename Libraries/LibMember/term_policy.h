#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// A scheduler process that may claim the term of a data centre: the period in
/// which one scheduler places its jobs.
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
/// Only the first live candidate claims, so that concurrent claims are rare; of
/// several claims of one term number, the first in the log succeeds. Nothing is
/// claimed while the holder is alive or is this process, nor until `running_ms`
/// is long enough for the peers' heartbeats to have arrived.
/// @return true when a claim should be appended now.
[[nodiscard]] auto ShouldClaim(const ClaimView& view) -> bool;

}  // namespace kcm::member
