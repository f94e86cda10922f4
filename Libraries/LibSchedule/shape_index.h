#pragma once

#include "LibSchedule/capacity.h"
#include "LibSchedule/room_index.h"
#include "LibSchedule/worker_table.h"

namespace kcm::schedule {

/// Room for one member shape by worker, by rack and by two neighbouring racks.
class ShapeIndex {
 public:
  ShapeIndex(const WorkerTable& table, const state::Shape& shape);

  /// Takes over what is free on a worker now.
  auto Update(WorkerIndex worker, const Capacity& free) -> void;

  [[nodiscard]] auto Matches(const state::Shape& shape) const -> bool {
    return shape.accelerators == shape_.accelerators &&
           shape.cores == shape_.cores && shape.memory_mb == shape_.memory_mb;
  }
  [[nodiscard]] auto workers() const -> const RoomIndex& { return workers_; }
  [[nodiscard]] auto racks() const -> const RoomIndex& { return racks_; }
  /// Item i is the pair of racks i and i + 1.
  [[nodiscard]] auto pairs() const -> const RoomIndex& { return pairs_; }
  [[nodiscard]] auto total() const -> std::int64_t { return total_; }

  /// Position in the journal of the view up to which this index is current.
  std::size_t journal_position = 0;
  /// Use count of the view at the last query.
  std::uint64_t last_used = 0;

 private:
  const WorkerTable* table_;
  state::Shape shape_;
  RoomIndex workers_;
  RoomIndex racks_;
  RoomIndex pairs_;
  std::int64_t total_ = 0;
};

}  // namespace kcm::schedule
