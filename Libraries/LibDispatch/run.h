#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibDispatch/resources.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

/// How far a run has come, as its holder knows it.
enum class RunPhase : std::uint8_t {
  /// A former holder placed it; the worker has not been asked yet.
  kAdopted,
  /// Its rows are being stored, or its start is on the way.
  kStarting,
  kRunning,
  /// Told to stop; it may still run.
  kStopping,
};

/// One run of a task on one worker.
struct Run {
  TaskId task;
  std::int64_t attempt = 0;
  Resources demand;
  RunPhase phase = RunPhase::kStarting;
  /// The run may start once this batch of rows is stored.
  std::uint64_t batch = 0;
  std::string payload;
  std::string checkpoint;
  core::Millis placed_at = 0;
  /// A start has left this machine, at least once.
  bool start_sent = false;
  /// A start got no answer: it may take effect later.
  bool start_lost = false;
  /// A look has shown it in the worker's present life.
  bool listed = false;
  bool call_in_flight = false;
  core::Millis next_call_at = 0;
  /// When the run began, as far as is known.
  std::optional<core::Millis> started_at;
  /// When it became known here that the run exists, and when the worker
  /// confirmed the stop. Only a look sent after that proves that it is gone:
  /// answers overtake each other.
  std::optional<core::Millis> seen_at;
  std::optional<core::Millis> stopped_at;
  /// Share of the work that was done, and when it was told.
  double percent = 0;
  core::Millis told_at = 0;
  /// When the percentage last rose.
  core::Millis moved_at = 0;
};

}  // namespace kcm::dispatch
