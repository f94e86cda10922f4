#include "LibSchedule/capacity_view.h"

#include <algorithm>
#include <tuple>

namespace kcm::schedule {

namespace {

/// Member shapes that one view keeps an index for.
constexpr std::size_t kMaxIndexes = 24;
/// Journal length, in multiples of the workers, that forces a fresh start.
constexpr std::size_t kJournalFactor = 4;
constexpr std::size_t kMinJournal = 4096;
/// Equally tight workers that are compared by the room of their racks.
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
      std::max(kMinJournal, kJournalFactor * table_->size())) {
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

auto CapacityView::Take(const Seats& seats, const state::Shape& shape) -> void {
  for (const auto& seat : seats) {
    Subtract(seat.worker, CapacityOf(shape, seat.members));
  }
}

auto CapacityView::Give(const Seats& seats, const state::Shape& shape) -> void {
  for (const auto& seat : seats) {
    Add(seat.worker, CapacityOf(shape, seat.members));
  }
}

auto CapacityView::IndexOf(const state::Shape& shape) const
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
  found->last_used = ++uses_;
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
  const auto rack_room = [&](WorkerIndex worker) {
    return index.racks().room(table_->at(worker).rack);
  };
  for (int i = 0;
       i < kComparedWorkers && next != ordered.end() && next->first == tightest;
       ++i, ++next) {
    if (rack_room(next->second) < rack_room(best)) {
      best = next->second;
    }
  }
  return best;
}

auto CapacityView::FindAnywhere(const ShapeIndex& index,
                                const state::Shape& shape) const -> Seats {
  Seats seats;
  auto missing = shape.members;
  for (const auto& [room, rack] : index.racks().ordered()) {
    const auto part = std::min(missing, room);
    auto found = FindAmong(table_->rack_workers(rack), shape, part);
    seats.insert(seats.end(), found->begin(), found->end());
    missing -= part;
    if (missing == 0) {
      break;
    }
  }
  return seats;
}

auto CapacityView::Find(const state::Shape& shape) const
    -> std::optional<Seats> {
  const auto& index = IndexOf(shape);
  if (index.total() < shape.members) {
    return std::nullopt;
  }
  if (const auto worker = FindWorker(index, shape.members)) {
    return Seats{{*worker, shape.members}};
  }
  if (shape.adjacency == state::Adjacency::kSameWorker) {
    return std::nullopt;
  }
  const auto& racks = index.racks().ordered();
  if (const auto rack = racks.lower_bound({shape.members, 0});
      rack != racks.end()) {
    return FindAmong(table_->rack_workers(rack->second), shape, shape.members);
  }
  if (shape.adjacency == state::Adjacency::kSameRack) {
    return std::nullopt;
  }
  const auto& pairs = index.pairs().ordered();
  if (const auto pair = pairs.lower_bound({shape.members, 0});
      pair != pairs.end()) {
    return FindAmong(WorkersOf(pair->second, true), shape, shape.members);
  }
  if (shape.adjacency == state::Adjacency::kNeighbouringRacks) {
    return std::nullopt;
  }
  return FindAnywhere(index, shape);
}

auto CapacityView::FindAmong(const std::vector<WorkerIndex>& workers,
                             const state::Shape& shape,
                             std::int64_t members) const
    -> std::optional<Seats> {
  std::vector<std::tuple<std::int64_t, std::int64_t, WorkerIndex>> rooms;
  for (const auto worker : workers) {
    if (const auto room = MembersThatFit(free_[worker], shape); room > 0) {
      rooms.emplace_back(room, free_[worker].accelerators, worker);
    }
  }
  std::sort(rooms.begin(), rooms.end());
  Seats seats;
  for (const auto& [room, accelerators, worker] : rooms) {
    if (room >= members) {
      return Seats{{worker, members}};
    }
  }
  auto missing = members;
  for (const auto& [room, accelerators, worker] : rooms) {
    const auto part = std::min(room, missing);
    seats.push_back({worker, part});
    missing -= part;
    if (missing == 0) {
      return seats;
    }
  }
  return std::nullopt;
}

auto CapacityView::BestRoom(const state::Shape& shape) const -> std::int64_t {
  const auto& index = IndexOf(shape);
  const auto most = [](const RoomIndex& rooms) {
    return rooms.ordered().empty() ? 0 : rooms.ordered().rbegin()->first;
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
