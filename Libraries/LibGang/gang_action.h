#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "LibPlatform/worker_port.h"
#include "LibState/job_status.h"

namespace kcm::gang {

/// Append the placement record to the log and report by CommitSettled whether
/// it was accepted.
struct CommitPlacement {};

/// Send a command to a member's worker: start, throttle, checkpoint or stop its
/// task. A stop also ends the lease.
struct CommandMember {
  std::size_t member = 0;
  platform::LeaseCommand command = platform::LeaseCommand::kStop;
};

/// Append the record that ends the job.
struct RecordEnd {
  state::JobStatus status = state::JobStatus::kLost;
  std::string reason;
  /// The worker on which the task failed; empty when none did.
  std::string bad_worker;
};

/// Append the record that sends the job back to the queue.
struct RecordRequeue {
  std::string checkpoint;
  /// False when no member can have started, so that the job may be placed again
  /// whatever its recovery setting.
  bool started = true;
  std::string reason;
  /// The worker on which the task failed; empty when none did.
  std::string bad_worker;
};

/// Discard the gang: it was never placed, and stops of its leases were already
/// commanded.
struct AbandonAssembly {};

/// A decision of a gang that the caller of Gang::Apply() carries out.
using GangAction = std::variant<CommitPlacement,
                                CommandMember,
                                RecordEnd,
                                RecordRequeue,
                                AbandonAssembly>;
using GangActions = std::vector<GangAction>;

}  // namespace kcm::gang
