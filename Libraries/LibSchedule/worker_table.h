#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibSchedule/allocation.h"
#include "LibSchedule/capacity.h"
#include "LibState/fleet.h"

namespace kcm::schedule {

/// The workers of one data centre and their racks, by index.
///
/// An index stays valid for the lifetime of the table, also when the worker
/// leaves the fleet: gangs that still run there keep their placement.
class WorkerTable {
 public:
  struct Worker {
    std::string id;
    RackIndex rack = 0;
    Capacity total;
    /// The worker is part of the fleet on record.
    bool recorded = false;
    bool usable = true;
    /// One bit for each accelerator that is not allocated.
    std::uint64_t free_mask = 0;
  };

  /// Replaces the workers on record and numbers the racks anew.
  auto SetFleet(const state::Fleet& fleet, const std::string& data_centre)
      -> void;

  /// @return the worker's index; assigns one to an unknown worker, which gangs
  ///     may name although the fleet does not list it.
  auto Intern(const std::string& id) -> WorkerIndex;

  /// Frees all accelerators of the workers on record.
  auto ResetMasks() -> void;

  [[nodiscard]] auto Find(const std::string& id) const
      -> std::optional<WorkerIndex>;

  [[nodiscard]] auto size() const -> std::size_t { return workers_.size(); }
  [[nodiscard]] auto at(WorkerIndex worker) const -> const Worker& {
    return workers_[worker];
  }
  [[nodiscard]] auto rack_count() const -> std::size_t { return racks_.size(); }
  [[nodiscard]] auto rack_name(RackIndex rack) const -> const std::string& {
    return rack_names_[rack];
  }
  [[nodiscard]] auto rack_workers(RackIndex rack) const
      -> const std::vector<WorkerIndex>& {
    return racks_[rack];
  }
  [[nodiscard]] auto total() const -> const Capacity& { return total_; }

  /// @return the total of a worker on record that is usable, else zero.
  [[nodiscard]] auto UsableCapacity(WorkerIndex worker) const -> Capacity;

  auto SetUsable(WorkerIndex worker, bool usable) -> void {
    workers_[worker].usable = usable;
  }

  /// Allocates the lowest free accelerators of a worker.
  /// @return their bits.
  [[nodiscard]] auto AllocateAccelerators(WorkerIndex worker,
                                          std::int64_t count) -> std::uint64_t;
  /// Allocates the given accelerators; some may be allocated already.
  auto AllocateMask(WorkerIndex worker, std::uint64_t mask) -> void;
  /// Frees the given accelerators.
  auto ReleaseMask(WorkerIndex worker, std::uint64_t mask) -> void;

 private:
  std::vector<Worker> workers_;
  std::unordered_map<std::string, WorkerIndex> by_id_;
  std::vector<std::string> rack_names_;
  std::vector<std::vector<WorkerIndex>> racks_;
  Capacity total_;
};

}  // namespace kcm::schedule
