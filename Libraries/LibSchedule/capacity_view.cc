#include "LibSchedule/capacity_view.h"

#include <algorithm>
#include <tuple>

namespace kcm::schedule {

namespace {

/// Member shapes that one view keeps an index for.
constexpr std::size_t kMaxIndexes = 24;
/// Journal length per worker beyond which indexes are dropped and rebuilt.
constexpr std::size_t kJournalFactor = 4;
constexpr std::size_t kMinJournalLength = 4096;
/// Equally tight workers that are compared by free capacity of their racks.
constexpr int kComparedWorkers = 16;

}  // namespace

auto CapacityView::Reset(bool recorded) -> void {
  indexes_.clear();
  journal_.clear();
  free_.resize(table_->size());
  for (WorkerIndex worker = 0; worker < free_.size(); ++worker) {
    free_[worker] =
        recorded ? table_->at(worker).total : table_->UsableCapacity(worker);
  }
}

auto CapacityView::Set(WorkerIndex worker, const Capacity& free) -> void {
  if (free_[worker] == free) {
    return;
  }
  free_[worker] = free;
  if (indexes_.empty()) {
    return;
  }
  if (journal_.size() >
      std::max(kMinJournalLength, kJournalFactor * table_->size())) {
    indexes_.clear();
    journal_.clear();
    return;
  }
  journal_.push_back(worker);
}

auto CapacityView::Add(WorkerIndex worker, const Capacity& change) -> void {
  auto free = free_[worker];
  Set(worker, free += change);
}

auto CapacityView::Subtract(WorkerIndex worker, const Capacity& change)
    -> void {
  auto free = free_[worker];
  Set(worker, free -= change);
}

auto CapacityView::Allocate(const Placement& placement,
                            const state::Shape& shape) -> void {
  for (const auto& allocation : placement) {
    Subtract(allocation.worker, CapacityOf(shape, allocation.members));
  }
}

auto CapacityView::Release(const Placement& placement,
                           const state::Shape& shape) -> void {
  for (const auto& allocation : placement) {
    Add(allocation.worker, CapacityOf(shape, allocation.members));
  }
}

auto CapacityView::ShapeIndexFor(const state::Shape& shape) const
    -> const ShapeIndex& {
  auto found = std::find_if(
      indexes_.begin(), indexes_.end(),
      [&](const ShapeIndex& index) { return index.Matches(shape); });
  if (found == indexes_.end()) {
    if (indexes_.size() >= kMaxIndexes) {
      indexes_.erase(
          std::min_element(indexes_.begin(), indexes_.end(),
                           [](const ShapeIndex& left, const ShapeIndex& right) {
                             return left.last_used < right.last_used;
                           }));
    }
    found = indexes_.emplace(indexes_.end(), *table_, shape);
    for (WorkerIndex worker = 0; worker < free_.size(); ++worker) {
      found->Update(worker, free_[worker]);
    }
    found->journal_position = journal_.size();
  }
  for (; found->journal_position < journal_.size(); ++found->journal_position) {
    const auto worker = journal_[found->journal_position];
    found->Update(worker, free_[worker]);
  }
  found->last_used = ++queries_;
  return *found;
}

auto CapacityView::WorkersOf(RackIndex rack, bool pair) const
    -> std::vector<WorkerIndex> {
  auto workers = table_->rack_workers(rack);
  if (pair && rack + 1 < table_->rack_count()) {
    const auto& next = table_->rack_workers(rack + 1);
    workers.insert(workers.end(), next.begin(), next.end());
  }
  return workers;
}

auto CapacityView::FindWorker(const ShapeIndex& index,
                              std::int64_t members) const
    -> std::optional<WorkerIndex> {
  const auto& ordered = index.workers().ordered();
  auto next = ordered.lower_bound({members, 0});
  if (next == ordered.end()) {
    return std::nullopt;
  }
  const auto tightest = next->first;
  auto best = next->second;
  const auto rack_free_members = [&](WorkerIndex worker) {
    return index.racks().free_members(table_->at(worker).rack);
  };
  for (int i = 0;
       i < kComparedWorkers && next != ordered.end() && next->first == tightest;
       ++i, ++next) {
    if (rack_free_members(next->second) < rack_free_members(best)) {
      best = next->second;
    }
  }
  return best;
}

auto CapacityView::FindAnywhere(const ShapeIndex& index,
                                const state::Shape& shape) const -> Placement {
  Placement placement;
  auto missing = shape.members;
  for (const auto& [free_members, rack] : index.racks().ordered()) {
    const auto part = std::min(missing, free_members);
    auto found = FindPlacementAmong(table_->rack_workers(rack), shape, part);
    placement.insert(placement.end(), found->begin(), found->end());
    missing -= part;
    if (missing == 0) {
      break;
    }
  }
  return placement;
}

auto CapacityView::FindPlacement(const state::Shape& shape) const
    -> std::optional<Placement> {
  const auto& index = ShapeIndexFor(shape);
  if (index.total() < shape.members) {
    return std::nullopt;
  }
  if (const auto worker = FindWorker(index, shape.members)) {
    return Placement{{*worker, shape.members}};
  }
  if (shape.adjacency == state::Adjacency::kSameWorker) {
    return std::nullopt;
  }
  const auto& racks = index.racks().ordered();
  if (const auto rack = racks.lower_bound({shape.members, 0});
      rack != racks.end()) {
    return FindPlacementAmong(table_->rack_workers(rack->second), shape,
                              shape.members);
  }
  if (shape.adjacency == state::Adjacency::kSameRack) {
    return std::nullopt;
  }
  const auto& pairs = index.pairs().ordered();
  if (const auto pair = pairs.lower_bound({shape.members, 0});
      pair != pairs.end()) {
    return FindPlacementAmong(WorkersOf(pair->second, true), shape,
                              shape.members);
  }
  if (shape.adjacency == state::Adjacency::kNeighbouringRacks) {
    return std::nullopt;
  }
  return FindAnywhere(index, shape);
}

auto CapacityView::FindPlacementAmong(const std::vector<WorkerIndex>& workers,
                                      const state::Shape& shape,
                                      std::int64_t members) const
    -> std::optional<Placement> {
  std::vector<std::tuple<std::int64_t, std::int64_t, WorkerIndex>>
      by_free_members;
  for (const auto worker : workers) {
    if (const auto free_members = MembersThatFit(free_[worker], shape);
        free_members > 0) {
      by_free_members.emplace_back(free_members, free_[worker].accelerators,
                                   worker);
    }
  }
  std::sort(by_free_members.begin(), by_free_members.end());
  Placement placement;
  for (const auto& [free_members, accelerators, worker] : by_free_members) {
    if (free_members >= members) {
      return Placement{{worker, members}};
    }
  }
  auto missing = members;
  for (const auto& [free_members, accelerators, worker] : by_free_members) {
    const auto part = std::min(free_members, missing);
    placement.push_back({worker, part});
    missing -= part;
    if (missing == 0) {
      return placement;
    }
  }
  return std::nullopt;
}

auto CapacityView::MaxPlaceableMembers(const state::Shape& shape) const
    -> std::int64_t {
  const auto& index = ShapeIndexFor(shape);
  const auto most = [](const FreeCapacityIndex& groups) {
    return groups.ordered().empty() ? 0 : groups.ordered().rbegin()->first;
  };
  switch (shape.adjacency) {
    case state::Adjacency::kSameWorker:
      return most(index.workers());
    case state::Adjacency::kSameRack:
      return most(index.racks());
    case state::Adjacency::kNeighbouringRacks:
      return std::max(most(index.pairs()), most(index.racks()));
    case state::Adjacency::kAnywhere:
      return index.total();
  }
  return 0;
}

}  // namespace kcm::schedule
