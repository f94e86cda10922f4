#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibState/job.h"

namespace kcm::schedule {

/// Acquire the gang's leases from the workers, commit the placement to the log,
/// start the tasks.
struct PlaceGang {
  std::string job;
  std::int64_t attempt = 0;
  /// Members without lease ids.
  std::vector<state::Member> members;
};

/// Preempt a running gang: throttle its tasks (their workers slow them down),
/// checkpoint them if the job can be, stop them.
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

/// The planner places no more gangs on a worker; for the operator to see.
struct CordonWorker {
  std::string worker;
  std::string reason;
};

/// A decision of the planner that the caller of Planner::Plan() carries out.
using Action = std::variant<PlaceGang, PreemptGang, RefuseJob, CordonWorker>;

}  // namespace kcm::schedule
