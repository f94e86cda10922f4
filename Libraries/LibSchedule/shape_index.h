#pragma once

#include "LibSchedule/capacity.h"
#include "LibSchedule/free_capacity_index.h"
#include "LibSchedule/worker_table.h"

namespace kcm::schedule {

/// How many members of one shape fit into each worker, rack and pair of
/// neighbouring racks.
class ShapeIndex {
 public:
  ShapeIndex(const WorkerTable& table, const state::Shape& shape);

  /// Updates the counts from the free capacity of a worker.
  auto Update(WorkerIndex worker, const Capacity& free) -> void;

  [[nodiscard]] auto Matches(const state::Shape& shape) const -> bool {
    return shape.accelerators == shape_.accelerators &&
           shape.cores == shape_.cores && shape.memory_mb == shape_.memory_mb;
  }
  [[nodiscard]] auto workers() const -> const FreeCapacityIndex& {
    return workers_;
  }
  [[nodiscard]] auto racks() const -> const FreeCapacityIndex& {
    return racks_;
  }
  /// Item i is the pair of racks i and i + 1.
  [[nodiscard]] auto pairs() const -> const FreeCapacityIndex& {
    return pairs_;
  }
  [[nodiscard]] auto total() const -> std::int64_t { return total_; }

  /// Position in the journal of the view up to which this index is current.
  std::size_t journal_position = 0;
  /// Number of the view's last query that used this index, counted over all
  /// shapes; the view drops the index with the lowest.
  std::uint64_t last_used = 0;

 private:
  const WorkerTable* table_;
  state::Shape shape_;
  FreeCapacityIndex workers_;
  FreeCapacityIndex racks_;
  FreeCapacityIndex pairs_;
  std::int64_t total_ = 0;
};

}  // namespace kcm::schedule
