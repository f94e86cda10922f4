#pragma once

#include <optional>
#include <vector>

#include "LibCore/clock.h"
#include "LibEntry/claim_order.h"

namespace kcm::entry {

/// Decides when the term holder resigns in favour of a process with clearly
/// more processor capacity.
///
/// The scheduling stands still for some hundred milliseconds at a change of the
/// holder, so an idle holder resigns soon, a busy one after a while, and a
/// process that has resigned does not do so again for a minute.
class HandoverPolicy {
 public:
  /// @param held_for how long this process has held the term.
  /// @param is_idle the holder has nothing to place or store.
  [[nodiscard]] auto ShouldResign(const Candidate& self,
                                  const std::vector<Candidate>& live_peers,
                                  core::Millis held_for,
                                  bool is_idle,
                                  core::Millis now) const -> bool;

  auto RecordResignation(core::Millis now) -> void { resigned_at_ = now; }

 private:
  std::optional<core::Millis> resigned_at_;
};

}  // namespace kcm::entry
