#pragma once

#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::dispatch {

/// How the operators want the jobs of one queue to be treated.
struct QueuePolicy {
  /// Pool of workers that run the queue's tasks.
  std::string service;
  /// Zero comes first and may preempt others.
  std::int64_t priority = 0;
  /// Failed runs after which a task, or a gang, is given up.
  std::int64_t max_attempts = 1;
  /// The objective is this many times the job's longest chain of work ...
  double slack_factor = 1;
  /// ... and this span more.
  core::Millis target_latency_ms = 0;
};

KCM_JSON(QueuePolicy,
         service,
         priority,
         max_attempts,
         slack_factor,
         target_latency_ms)

}  // namespace kcm::dispatch
