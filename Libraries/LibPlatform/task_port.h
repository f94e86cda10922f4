#pragma once

#include <cstdint>
#include <functional>

#include "LibCore/clock.h"
#include "LibDispatch/worker_call.h"

namespace kcm::platform {

/// The workers' interface for the processes of Services/Entry: a call starts or
/// stops one run of a task, or polls the worker, which lists its runs and
/// renews their leases. A start call takes the lease, too; WorkerPort, which
/// Services/Scheduler uses, has separate calls for leases.
class TaskPort {
 public:
  using Done = std::function<void(dispatch::CallResult)>;

  virtual ~TaskPort() = default;

  /// Sends one call.
  /// @param fence fencing token; a worker refuses one lower than it has seen.
  /// @param timeout time after which the outcome is unknown; for a poll, the
  ///     time that the worker may wait for an ended run is added to it.
  virtual auto Send(const dispatch::WorkerCall& call,
                    std::int64_t fence,
                    core::Millis timeout,
                    Done done) -> void = 0;
};

}  // namespace kcm::platform
