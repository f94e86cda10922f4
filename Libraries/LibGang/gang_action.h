#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "LibPlatform/worker_port.h"
#include "LibState/job_status.h"

namespace kcm::gang {

/// Append the placement record and report what the fold decided.
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

/// Forget the gang: it was never placed and its leases are gone.
struct AbandonAssembly {};

/// What a gang asks its task to do.
using GangAction = std::variant<CommitPlacement,
                                CommandMember,
                                RecordEnd,
                                RecordRequeue,
                                AbandonAssembly>;
using GangActions = std::vector<GangAction>;

}  // namespace kcm::gang
