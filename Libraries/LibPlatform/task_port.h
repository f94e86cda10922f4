#pragma once

#include <cstdint>
#include <functional>

#include "LibCore/clock.h"
#include "LibDispatch/worker_call.h"

namespace kcm::platform {

/// The workers' interface for task runs under leases.
class TaskPort {
 public:
  using Done = std::function<void(dispatch::CallResult)>;

  virtual ~TaskPort() = default;

  /// Sends one call.
  /// @param fence fencing token; a worker refuses one lower than it has seen.
  /// @param timeout time after which the outcome is unknown; the wait of a poll
  ///     is added to it.
  virtual auto Send(const dispatch::WorkerCall& call,
                    std::int64_t fence,
                    core::Millis timeout,
                    Done done) -> void = 0;
};

}  // namespace kcm::platform
