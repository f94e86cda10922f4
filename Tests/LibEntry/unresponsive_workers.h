#pragma once

#include <tuple>

#include "LibPlatform/task_port.h"

namespace kcm::entry {

/// Task port whose calls are never answered.
class UnresponsiveWorkers : public platform::TaskPort {
 public:
  auto Send(const dispatch::WorkerCall& call,
            std::int64_t fence,
            core::Millis timeout,
            Done done) -> void override {
    std::ignore = std::tuple(call, fence, timeout, done);
  }
};

}  // namespace kcm::entry
