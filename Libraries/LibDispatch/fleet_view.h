#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/resources.h"
#include "LibDispatch/task_id.h"
#include "LibDispatch/worker_info.h"

namespace kcm::dispatch {

/// A run as a planning pass sees it.
struct SeatedRun {
  TaskId task;
  Resources demand;
  /// When it is expected to end, on the steady clock.
  core::Millis expected_end = 0;
  /// Core-milliseconds that a stop would throw away, of its whole gang.
  double loss = 0;
  /// Belongs to work that is owed to its account, which nobody may stop.
  bool guaranteed = false;
  std::int64_t priority = 0;
  bool stopping = false;
};

/// One worker as a planning pass sees it.
struct WorkerSlot {
  const WorkerInfo* info = nullptr;
  Resources free;
  /// What runs that are being stopped will give back.
  Resources stopping;
  /// Kept for gangs that wait for more room, and until when.
  Resources reserved;
  core::Millis reserved_until = 0;
  std::vector<SeatedRun> runs;

  /// @return what a run of this length may use.
  [[nodiscard]] auto RoomFor(core::Millis now, core::Millis run_ms) const
      -> Resources {
    auto room = free;
    if (now + run_ms > reserved_until) {
      room -= reserved;
    }
    return room;
  }
};

/// The workers of one planning pass, by index, ordered by rack.
struct FleetView {
  std::vector<WorkerSlot> slots;
  /// First and one past the last slot of each rack.
  std::vector<std::pair<std::size_t, std::size_t>> racks;
};

}  // namespace kcm::dispatch
