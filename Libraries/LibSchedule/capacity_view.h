#pragma once

#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "LibSchedule/shape_index.h"

namespace kcm::schedule {

/// One account of what is free on each worker, indexed by member shape.
///
/// Changes go to a journal; the index of a shape reads the journal when the
/// shape is asked for next, so that a change costs nothing for idle shapes.
class CapacityView {
 public:
  explicit CapacityView(const WorkerTable& table) : table_(&table) {}

  /// Forgets all indexes and starts from the usable capacity of the table.
  /// @param recorded takes all workers on record, usable or not.
  auto Reset(bool recorded = false) -> void;

  /// Makes room for workers that joined the table without being on record.
  auto Grow() -> void { free_.resize(table_->size()); }

  [[nodiscard]] auto free(WorkerIndex worker) const -> const Capacity& {
    return free_[worker];
  }
  auto Set(WorkerIndex worker, const Capacity& free) -> void;
  auto Add(WorkerIndex worker, const Capacity& change) -> void;
  auto Subtract(WorkerIndex worker, const Capacity& change) -> void;

  /// Takes or returns the seats of a gang.
  auto Take(const Seats& seats, const state::Shape& shape) -> void;
  auto Give(const Seats& seats, const state::Shape& shape) -> void;

  /// Finds the tightest room for a whole gang.
  [[nodiscard]] auto Find(const state::Shape& shape) const
      -> std::optional<Seats>;

  /// Finds seats on the given workers only, fullest workers first.
  [[nodiscard]] auto FindAmong(const std::vector<WorkerIndex>& workers,
                               const state::Shape& shape,
                               std::int64_t members) const
      -> std::optional<Seats>;

  /// @return the current index of the shape's members.
  [[nodiscard]] auto IndexOf(const state::Shape& shape) const
      -> const ShapeIndex&;

  /// @return workers of a rack and, with `pair`, of the next rack.
  [[nodiscard]] auto WorkersOf(RackIndex rack, bool pair) const
      -> std::vector<WorkerIndex>;

  /// @return the most members that one permitted group has room for.
  [[nodiscard]] auto BestRoom(const state::Shape& shape) const -> std::int64_t;

 private:
  [[nodiscard]] auto FindWorker(const ShapeIndex& index,
                                std::int64_t members) const
      -> std::optional<WorkerIndex>;
  [[nodiscard]] auto FindAnywhere(const ShapeIndex& index,
                                  const state::Shape& shape) const -> Seats;

  const WorkerTable* table_;
  std::vector<Capacity> free_;
  mutable std::vector<WorkerIndex> journal_;
  mutable std::list<ShapeIndex> indexes_;
  mutable std::uint64_t uses_ = 0;
};

}  // namespace kcm::schedule
