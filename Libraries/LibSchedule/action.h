#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibState/job.h"

namespace kcm::schedule {

/// Take leases for this gang, commit the placement, start the tasks.
struct PlaceGang {
  std::string job;
  std::int64_t attempt = 0;
  /// Members without lease ids.
  std::vector<state::Member> members;
};

/// Take the capacity of a running gang back: throttle, checkpoint, stop.
struct PreemptGang {
  std::string job;
  std::int64_t attempt = 0;
  /// The job that waits for the capacity; named in the history.
  std::string beneficiary;
};

/// End a job that will never run, with the reason told to its caller.
struct RefuseJob {
  std::string job;
  std::string reason;
};

/// Place nothing more on a worker.
struct CordonWorker {
  std::string worker;
  std::string reason;
};

/// What the planner asks its task to do.
using Action = std::variant<PlaceGang, PreemptGang, RefuseJob, CordonWorker>;

}  // namespace kcm::schedule
