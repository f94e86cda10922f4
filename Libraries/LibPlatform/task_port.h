#pragma once

#include <cstdint>
#include <functional>

#include "LibCore/clock.h"
#include "LibDispatch/worker_call.h"

namespace kcm::platform {

/// The workers' interface for runs of tasks under leases.
class TaskPort {
 public:
  using Done = std::function<void(dispatch::CallResult)>;

  virtual ~TaskPort() = default;

  /// Carries out one call.
  /// @param fence a worker does nothing for a lower one than it has seen.
  /// @param timeout span after which the outcome counts as unknown; for a
  ///     look it is added to the look's own wait.
  virtual auto Send(const dispatch::WorkerCall& call,
                    std::int64_t fence,
                    core::Millis timeout,
                    Done done) -> void = 0;
};

}  // namespace kcm::platform
