#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibState/job.h"

namespace kcm::schedule {

/// Acquire the leases of this gang, commit the placement, start the tasks.
struct PlaceGang {
  std::string job;
  std::int64_t attempt = 0;
  /// Members without lease ids.
  std::vector<state::Member> members;
};

/// Preempt a running gang: throttle, checkpoint, stop.
struct PreemptGang {
  std::string job;
  std::int64_t attempt = 0;
  /// The job that waits for the capacity; recorded in the history.
  std::string beneficiary;
};

/// End a job that can never run; the reason is returned to its caller.
struct RefuseJob {
  std::string job;
  std::string reason;
};

/// Stop placing gangs on a worker.
struct CordonWorker {
  std::string worker;
  std::string reason;
};

/// A decision of the planner that its task carries out.
using Action = std::variant<PlaceGang, PreemptGang, RefuseJob, CordonWorker>;

}  // namespace kcm::schedule
