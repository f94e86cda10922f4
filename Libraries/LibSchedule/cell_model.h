#pragma once

#include <vector>

#include "LibSchedule/capacity_view.h"
#include "LibSchedule/gang.h"
#include "LibSchedule/worker_table.h"

namespace kcm::schedule {

/// The capacity of one cell, a data centre as the unit of scheduling, in the
/// views that the planner needs.
///
/// - recorded: all workers on record, empty.
/// - usable_total: usable workers, empty.
/// - unoccupied: usable_total less what gangs occupy.
/// - free: unoccupied less what is held for waiting gangs.
/// - uncommitted: usable_total less guarantee units and non-preemptible gangs,
///   placed or held for; borrowers (preemptible gangs) do not count.
/// - free_uncommitted: the smaller of free and uncommitted, where a
///   non-preemptible gang may start now.
class CellModel {
 public:
  CellModel();
  CellModel(const CellModel&) = delete;
  auto operator=(const CellModel&) -> CellModel& = delete;

  /// Starts over from the table with only the given gangs placed.
  auto Reset(const std::vector<Gang*>& gangs) -> void;

  /// Adds entries for workers interned since (WorkerTable::Intern()): gangs
  /// name them, but the fleet does not list them.
  auto Grow() -> void;

  auto SetUsable(WorkerIndex worker, bool usable) -> void;

  /// Adds a gang to, or removes it from, what is occupied; leaves the view
  /// uncommitted as it is.
  auto AddGang(Gang& gang) -> void;
  auto RemoveGang(Gang& gang) -> void;

  /// Holds capacity for a waiting gang; it may still be occupied.
  auto AllocateHold(const Placement& placement, const state::Shape& shape)
      -> void;
  auto ReleaseHold(const Placement& placement, const state::Shape& shape)
      -> void;

  /// Subtracts from, or adds back to, the view uncommitted what one guarantee
  /// unit or non-preemptible gang reserves: only that owner may use it without
  /// being preemptible. Writes nothing to the log.
  auto ReserveUncommitted(const Placement& placement, const state::Shape& shape)
      -> void;
  auto ReleaseUncommitted(const Placement& placement, const state::Shape& shape)
      -> void;

  /// @return whether no gang occupies the placement now; held capacity counts
  ///     as free.
  [[nodiscard]] auto IsFree(const Placement& placement,
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
  auto RefreshFreeUncommitted(const Placement& placement) -> void;
  auto RefreshFreeUncommitted(WorkerIndex worker) -> void;

  std::vector<std::vector<Gang*>> gangs_;
};

}  // namespace kcm::schedule
