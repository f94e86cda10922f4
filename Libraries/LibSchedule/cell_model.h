#pragma once

#include <vector>

#include "LibSchedule/capacity_view.h"
#include "LibSchedule/gang.h"
#include "LibSchedule/worker_table.h"

namespace kcm::schedule {

/// The capacity of one data centre, seen in the ways the planner asks for it.
///
/// - recorded: all workers on record with nothing on them.
/// - whole: usable workers with nothing on them.
/// - physical: whole less what gangs occupy.
/// - free: physical less what is held for waiting gangs.
/// - firm: whole less guarantee units and firm gangs; borrowers do not count.
/// - open: the smaller of free and firm, where a firm gang may start now.
class CellModel {
 public:
  CellModel();
  CellModel(const CellModel&) = delete;
  auto operator=(const CellModel&) -> CellModel& = delete;

  /// Replaces the fleet and forgets holds, units and firm gangs; the given
  /// gangs keep their seats.
  auto Reset(const std::vector<Gang*>& gangs) -> void;

  /// Makes room for workers that joined the table.
  auto Grow() -> void;

  /// Includes or excludes a worker.
  auto SetUsable(WorkerIndex worker, bool usable) -> void;

  auto AddGang(Gang& gang) -> void;
  auto RemoveGang(Gang& gang) -> void;

  /// Holds room for a waiting gang; the room may still be occupied.
  auto TakeHold(const Seats& seats, const state::Shape& shape) -> void;
  auto GiveHold(const Seats& seats, const state::Shape& shape) -> void;

  /// Takes room that only its owner may use without being preemptible.
  auto TakeFirm(const Seats& seats, const state::Shape& shape) -> void;
  auto GiveFirm(const Seats& seats, const state::Shape& shape) -> void;

  /// @return whether the seats are physically free now.
  [[nodiscard]] auto IsFree(const Seats& seats, const state::Shape& shape) const
      -> bool;

  [[nodiscard]] auto gangs_on(WorkerIndex worker) const
      -> const std::vector<Gang*>& {
    return gangs_[worker];
  }

  WorkerTable table;
  CapacityView recorded;
  CapacityView whole;
  CapacityView physical;
  CapacityView free;
  CapacityView firm;
  CapacityView open;

 private:
  auto RefreshOpen(const Seats& seats) -> void;
  auto RefreshOpen(WorkerIndex worker) -> void;

  std::vector<std::vector<Gang*>> gangs_;
};

}  // namespace kcm::schedule
