#include "LibMember/term_policy.h"

namespace kcm::member {

namespace {

/// A process that just started has not received its peers' heartbeats yet.
constexpr core::Millis kMinRunningMs = 1200;

}  // namespace

auto ShouldClaim(const ClaimView& view) -> bool {
  if (view.running_ms < kMinRunningMs || view.holder_alive ||
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
