#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "LibPlatform/worker_port.h"
#include "LibState/job_status.h"

namespace kcm::gang {

/// Append the placement record and report its result.
struct CommitPlacement {};

/// Send a command about one member's lease.
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
  bool started = true;
  std::string reason;
  /// The worker on which the task failed; empty when none did.
  std::string bad_worker;
};

/// Discard the gang: it was never placed and its leases are released.
struct AbandonAssembly {};

/// A decision of a gang that its task carries out.
using GangAction = std::variant<CommitPlacement,
                                CommandMember,
                                RecordEnd,
                                RecordRequeue,
                                AbandonAssembly>;
using GangActions = std::vector<GangAction>;

}  // namespace kcm::gang
