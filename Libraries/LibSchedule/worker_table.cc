#include "LibSchedule/worker_table.h"

#include <map>

#include "LibCore/check.h"

namespace kcm::schedule {

namespace {

/// Accelerators of one worker that a mask can represent.
constexpr std::int64_t kMaskBits = 64;

auto FullMask(std::int64_t accelerators) -> std::uint64_t {
  return accelerators >= kMaskBits
             ? ~std::uint64_t{0}
             : (std::uint64_t{1} << static_cast<unsigned>(accelerators)) - 1;
}

}  // namespace

auto WorkerTable::SetFleet(const state::Fleet& fleet,
                           const std::string& data_centre) -> void {
  for (auto& worker : workers_) {
    worker.recorded = false;
    worker.total = {};
  }
  std::map<std::string, std::vector<WorkerIndex>> by_rack;
  total_ = {};
  for (const auto& record : fleet.workers) {
    if (record.data_centre != data_centre) {
      continue;
    }
    const auto index = Intern(record.id);
    auto& worker = workers_[index];
    worker.recorded = true;
    worker.total = {std::min(record.accelerators, kMaskBits), record.cores,
                    record.memory_mb};
    by_rack[record.rack].push_back(index);
    total_ += worker.total;
  }
  rack_names_.clear();
  racks_.clear();
  for (auto& [name, members] : by_rack) {
    for (const auto worker : members) {
      workers_[worker].rack = static_cast<RackIndex>(racks_.size());
    }
    rack_names_.push_back(name);
    racks_.push_back(std::move(members));
  }
}

auto WorkerTable::Intern(const std::string& id) -> WorkerIndex {
  const auto [found, added] =
      by_id_.try_emplace(id, static_cast<WorkerIndex>(workers_.size()));
  if (added) {
    workers_.emplace_back().id = id;
  }
  return found->second;
}

auto WorkerTable::ResetMasks() -> void {
  for (auto& worker : workers_) {
    worker.free_mask = FullMask(worker.total.accelerators);
  }
}

auto WorkerTable::Find(const std::string& id) const
    -> std::optional<WorkerIndex> {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto WorkerTable::UsableCapacity(WorkerIndex worker) const -> Capacity {
  const auto& entry = workers_[worker];
  return entry.recorded && entry.usable ? entry.total : Capacity{};
}

auto WorkerTable::AllocateAccelerators(WorkerIndex worker, std::int64_t count)
    -> std::uint64_t {
  auto& free = workers_[worker].free_mask;
  std::uint64_t taken = 0;
  for (; count > 0 && free != 0; --count) {
    const auto lowest = free & (~free + 1);
    taken |= lowest;
    free ^= lowest;
  }
  KCM_CHECK(count == 0);
  return taken;
}

auto WorkerTable::AllocateMask(WorkerIndex worker, std::uint64_t mask) -> void {
  workers_[worker].free_mask &= ~mask;
}

auto WorkerTable::ReleaseMask(WorkerIndex worker, std::uint64_t mask) -> void {
  workers_[worker].free_mask |= mask;
}

}  // namespace kcm::schedule
