#pragma once

#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "LibSchedule/shape_index.h"

namespace kcm::schedule {

/// Free capacity of each worker by one definition of free (CellModel lists
/// them), indexed by member shape.
///
/// Changes go to a journal that an index reads at the next query for its shape,
/// so that a change costs nothing for unqueried shapes.
class CapacityView {
 public:
  explicit CapacityView(const WorkerTable& table) : table_(&table) {}

  /// Drops all indexes and starts from the usable capacity of the table.
  /// @param recorded counts all workers on record, usable or not.
  auto Reset(bool recorded = false) -> void;

  /// Adds entries for workers interned since (WorkerTable::Intern()): gangs
  /// name them, but the fleet does not list them.
  auto Grow() -> void { free_.resize(table_->size()); }

  [[nodiscard]] auto free(WorkerIndex worker) const -> const Capacity& {
    return free_[worker];
  }
  auto Set(WorkerIndex worker, const Capacity& free) -> void;
  auto Add(WorkerIndex worker, const Capacity& change) -> void;
  auto Subtract(WorkerIndex worker, const Capacity& change) -> void;

  /// Subtracts or adds what a gang of this shape occupies.
  auto Allocate(const Placement& placement, const state::Shape& shape) -> void;
  auto Release(const Placement& placement, const state::Shape& shape) -> void;

  /// Finds the tightest fit for a whole gang.
  [[nodiscard]] auto FindPlacement(const state::Shape& shape) const
      -> std::optional<Placement>;

  /// Finds a placement on the given workers, fullest first.
  [[nodiscard]] auto FindPlacementAmong(const std::vector<WorkerIndex>& workers,
                                        const state::Shape& shape,
                                        std::int64_t members) const
      -> std::optional<Placement>;

  /// @return how many members of the shape fit into each worker and rack now.
  [[nodiscard]] auto ShapeIndexFor(const state::Shape& shape) const
      -> const ShapeIndex&;

  /// @return workers of a rack and, with `pair`, of the next rack.
  [[nodiscard]] auto WorkersOf(RackIndex rack, bool pair) const
      -> std::vector<WorkerIndex>;

  /// @return the most members that fit at once as close to each other as the
  ///     shape's adjacency demands.
  [[nodiscard]] auto MaxPlaceableMembers(const state::Shape& shape) const
      -> std::int64_t;

 private:
  [[nodiscard]] auto FindWorker(const ShapeIndex& index,
                                std::int64_t members) const
      -> std::optional<WorkerIndex>;
  [[nodiscard]] auto FindAnywhere(const ShapeIndex& index,
                                  const state::Shape& shape) const -> Placement;

  const WorkerTable* table_;
  std::vector<Capacity> free_;
  mutable std::vector<WorkerIndex> journal_;
  mutable std::list<ShapeIndex> indexes_;
  mutable std::uint64_t queries_ = 0;
};

}  // namespace kcm::schedule
