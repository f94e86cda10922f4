#pragma once

#include <vector>

#include "LibSchedule/capacity_view.h"
#include "LibSchedule/gang.h"
#include "LibSchedule/worker_table.h"

namespace kcm::schedule {

/// The capacity of one data centre in the views that the planner needs.
///
/// - recorded: all workers on record, empty.
/// - usable_total: usable workers, empty.
/// - unoccupied: usable_total less what gangs occupy.
/// - free: unoccupied less what is held for waiting gangs.
/// - uncommitted: usable_total less guarantee units and non-preemptible gangs;
///   borrowers do not count.
/// - free_uncommitted: the smaller of free and uncommitted, where a
///   non-preemptible gang may start now.
class CellModel {
 public:
  CellModel();
  CellModel(const CellModel&) = delete;
  auto operator=(const CellModel&) -> CellModel& = delete;

  /// Starts over from the table with only the given gangs placed.
  auto Reset(const std::vector<Gang*>& gangs) -> void;

  /// Adds entries for newly interned workers.
  auto Grow() -> void;

  auto SetUsable(WorkerIndex worker, bool usable) -> void;

  auto AddGang(Gang& gang) -> void;
  auto RemoveGang(Gang& gang) -> void;

  /// Holds capacity for a waiting gang; it may still be occupied.
  auto AllocateHold(const Seats& placement, const state::Shape& shape) -> void;
  auto ReleaseHold(const Seats& placement, const state::Shape& shape) -> void;

  /// Reserves capacity that only its owner may use without being preemptible.
  auto Commit(const Seats& placement, const state::Shape& shape) -> void;
  auto Uncommit(const Seats& placement, const state::Shape& shape) -> void;

  /// @return whether no gang occupies the placement now.
  [[nodiscard]] auto IsFree(const Seats& placement,
                            const state::Shape& shape) const -> bool;

  [[nodiscard]] auto gangs_on(WorkerIndex worker) const
      -> const std::vector<Gang*>& {
    return gangs_[worker];
  }

  WorkerTable table;
  CapacityView recorded;
  CapacityView usable_total;
  CapacityView unoccupied;
  CapacityView free;
  CapacityView uncommitted;
  CapacityView free_uncommitted;

 private:
  auto RefreshFreeUncommitted(const Seats& placement) -> void;
  auto RefreshFreeUncommitted(WorkerIndex worker) -> void;

  std::vector<std::vector<Gang*>> gangs_;
};

}  // namespace kcm::schedule
