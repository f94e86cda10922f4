#pragma once

#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::dispatch {

/// Scheduling policy of one queue, set by the operators.
struct QueuePolicy {
  /// Pool of workers that run the queue's tasks.
  std::string service;
  /// Zero is the highest; runs are evicted only for jobs of priority zero.
  std::int64_t priority = 0;
  /// Number of failed runs of a task, or a gang, after which its job fails.
  std::int64_t max_attempts = 1;
  /// The latency objective is this factor times the job's critical path ...
  double slack_factor = 1;
  /// ... plus this time.
  core::Millis target_latency_ms = 0;
};

KCM_JSON(QueuePolicy,
         service,
         priority,
         max_attempts,
         slack_factor,
         target_latency_ms)

}  // namespace kcm::dispatch
