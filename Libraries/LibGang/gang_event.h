#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "LibPlatform/worker_port.h"

namespace kcm::gang {

/// A member's worker answered the call for its lease.
struct LeaseAnswered {
  std::size_t member = 0;
  platform::CommandOutcome outcome = platform::CommandOutcome::kUnknown;
};

/// The fold decided about the placement record.
struct CommitSettled {
  bool accepted = false;
};

/// A renewal for a member is about to leave.
struct RenewalSent {
  std::size_t member = 0;
};

/// A member's worker reported the lease.
struct MemberReported {
  std::size_t member = 0;
  platform::LeaseReport report;
};

/// A member's worker answered a stop.
struct StopAnswered {
  std::size_t member = 0;
  platform::CommandOutcome outcome = platform::CommandOutcome::kUnknown;
};

/// The job's caller cancelled it.
struct CancelRequested {};

/// The planner wants the capacity back.
struct PreemptRequested {
  /// The job that waits for the capacity.
  std::string beneficiary;
};

/// The record that closes the attempt was refused by the fold.
struct CloseRefused {};

/// Time went on.
struct TimePassed {};

/// What can happen to a gang.
using GangEvent = std::variant<LeaseAnswered,
                               CommitSettled,
                               RenewalSent,
                               MemberReported,
                               StopAnswered,
                               CancelRequested,
                               PreemptRequested,
                               CloseRefused,
                               TimePassed>;

}  // namespace kcm::gang
