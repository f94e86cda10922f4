#include "LibMember/term_policy.h"

namespace kcm::member {

namespace {

/// A process that just started has not heard its peers yet.
constexpr core::Millis kSettleSpan = 1200;

}  // namespace

auto ShouldClaim(const ClaimView& view) -> bool {
  if (view.settled_ms < kSettleSpan || view.holder_alive ||
      view.holder == view.self) {
    return false;
  }
  for (const auto& candidate : view.candidates) {
    if (candidate.alive) {
      return candidate.name == view.self;
    }
  }
  return false;
}

}  // namespace kcm::member
