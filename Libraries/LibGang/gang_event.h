#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "LibPlatform/worker_port.h"

namespace kcm::gang {

/// A member's worker granted or refused its lease, or the call for it ended
/// without an answer.
struct LeaseAnswered {
  std::size_t member = 0;
  platform::CommandOutcome outcome = platform::CommandOutcome::kUnknown;
};

/// The log accepted or rejected the placement record.
struct CommitSettled {
  bool accepted = false;
};

/// A renewal for a member is about to be sent; applied before it is, so that
/// the latest expiry of the lease is calculated from it even if the renewal
/// gets no answer.
struct RenewalSent {
  std::size_t member = 0;
};

/// A member's worker reported the state of the lease.
struct MemberReported {
  std::size_t member = 0;
  platform::LeaseReport report;
};

/// A member's worker did or refused a stop, or the call ended without an
/// answer.
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

/// Only makes the gang check its timeouts.
struct TimerTick {};

/// An input of the gang's state machine.
using GangEvent = std::variant<LeaseAnswered,
                               CommitSettled,
                               RenewalSent,
                               MemberReported,
                               StopAnswered,
                               CancelRequested,
                               PreemptRequested,
                               CloseRefused,
                               TimerTick>;

}  // namespace kcm::gang
