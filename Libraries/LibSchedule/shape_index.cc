#include "LibSchedule/shape_index.h"

namespace kcm::schedule {

ShapeIndex::ShapeIndex(const WorkerTable& table, const state::Shape& shape)
    : table_(&table),
      shape_(shape),
      workers_(table.size()),
      racks_(table.rack_count()),
      pairs_(table.rack_count()) {}

auto ShapeIndex::Update(WorkerIndex worker, const Capacity& free) -> void {
  if (!table_->at(worker).recorded) {
    return;
  }
  const auto free_members = MembersThatFit(free, shape_);
  const auto change = free_members - workers_.free_members(worker);
  if (change == 0) {
    return;
  }
  workers_.Set(worker, free_members);
  total_ += change;
  const auto rack = table_->at(worker).rack;
  racks_.Set(rack, racks_.free_members(rack) + change);
  if (rack > 0) {
    pairs_.Set(rack - 1, pairs_.free_members(rack - 1) + change);
  }
  if (rack + 1 < table_->rack_count()) {
    pairs_.Set(rack, pairs_.free_members(rack) + change);
  }
}

}  // namespace kcm::schedule
