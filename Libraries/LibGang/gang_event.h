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

/// The placement record was accepted or rejected.
struct CommitSettled {
  bool accepted = false;
};

/// A renewal for a member is about to be sent.
struct RenewalSent {
  std::size_t member = 0;
};

/// A member's worker reported the state of the lease.
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

/// The planner preempted the gang.
struct PreemptRequested {
  /// The job that waits for the capacity.
  std::string beneficiary;
};

/// The record that closes the attempt was rejected.
struct CloseRefused {};

/// Drives the timers.
struct TimePassed {};

/// An input of the gang's state machine.
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
