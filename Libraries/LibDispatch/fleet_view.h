#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/dispatch_load.h"
#include "LibDispatch/resources.h"
#include "LibDispatch/task_id.h"
#include "LibDispatch/worker_info.h"

namespace kcm::dispatch {

/// State of a run during one planning pass.
struct RunView {
  TaskId task;
  Resources demand;
  /// Expected end on the steady clock.
  core::Millis expected_end = 0;
  /// Work lost by a stop, in core-milliseconds, for the whole gang.
  double loss = 0;
  /// Runs under a guarantee of its account and may not be evicted.
  bool guaranteed = false;
  std::int64_t priority = 0;
  bool stopping = false;
};

/// How far a worker keeps a suspect apart from other work; each holds for the
/// ones before it too.
enum class Isolation : std::uint8_t {
  kNone,
  /// All its runs have lasted for some seconds.
  kSettled,
  /// It has no runs, and has not crashed lately.
  kEmpty,
};

/// State of a worker during one planning pass.
struct WorkerView {
  const WorkerInfo* info = nullptr;
  /// When the newest run that it completed began; zero if none did.
  core::Millis proven_at = 0;
  Resources free;
  /// Capacity that runs being stopped will release.
  Resources stopping;
  /// Reserved for gangs that wait for more capacity, and until when.
  Resources reserved;
  core::Millis reserved_until = 0;
  std::vector<RunView> runs;
  Isolation isolation = Isolation::kNone;
  /// A suspect began there, and nothing may join it yet.
  bool is_closed = false;

  /// @return the capacity available to a run of this length.
  [[nodiscard]] auto FreeCapacityFor(core::Millis now,
                                     core::Millis run_ms) const -> Resources {
    auto capacity = free;
    if (now + run_ms > reserved_until) {
      capacity -= reserved;
    }
    return capacity;
  }
};

/// Capacity of the workers of one pool together.
struct PoolCapacity {
  Resources total;
  /// Not in use, nor placed on in this pass.
  Resources free;
};

/// The workers of one planning pass, ordered by rack.
struct FleetView {
  std::vector<WorkerView> workers;
  /// First and one past the last worker index of each rack.
  std::vector<std::pair<std::size_t, std::size_t>> racks;
  /// Capacity of each pool.
  std::map<std::string, PoolCapacity> pools;
  /// Counts the work of searches; null to count none.
  DispatchLoad* load = nullptr;

  auto CountWorkers(std::size_t count) const -> void {
    if (load != nullptr) {
      load->workers += static_cast<std::int64_t>(count);
    }
  }
  auto CountRuns(std::size_t count) const -> void {
    if (load != nullptr) {
      load->runs += static_cast<std::int64_t>(count);
    }
  }
};

}  // namespace kcm::dispatch
