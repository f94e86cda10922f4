#include "LibSchedule/fleet_model.h"

#include <algorithm>
#include <numeric>

namespace kcm::schedule {

FleetModel::FleetModel(const state::Fleet& fleet,
                       const std::string& data_centre) {
  for (const auto& record : fleet.workers) {
    if (record.data_centre != data_centre) {
      continue;
    }
    WorkerModel worker{record.id,        record.rack, record.cores,
                       record.memory_mb, {},          true};
    worker.free_accelerators.resize(
        static_cast<std::size_t>(record.accelerators));
    std::iota(worker.free_accelerators.begin(), worker.free_accelerators.end(),
              0);
    racks_[record.rack].push_back(record.id);
    workers_[record.id] = std::move(worker);
  }
}

auto FleetModel::Allocate(const state::Member& member,
                          const state::Shape& shape) -> void {
  const auto found = workers_.find(member.worker);
  if (found == workers_.end()) {
    return;
  }
  auto& worker = found->second;
  worker.free_cores -= shape.cores;
  worker.free_memory_mb -= shape.memory_mb;
  std::erase_if(worker.free_accelerators, [&](std::int64_t index) {
    return std::find(member.accelerators.begin(), member.accelerators.end(),
                     index) != member.accelerators.end();
  });
}

auto FleetModel::Release(const state::Member& member, const state::Shape& shape)
    -> void {
  const auto found = workers_.find(member.worker);
  if (found == workers_.end()) {
    return;
  }
  auto& worker = found->second;
  worker.free_cores += shape.cores;
  worker.free_memory_mb += shape.memory_mb;
  auto& free = worker.free_accelerators;
  free.insert(free.end(), member.accelerators.begin(),
              member.accelerators.end());
  std::sort(free.begin(), free.end());
}

auto FleetModel::SetUsable(const std::string& worker, bool usable) -> void {
  const auto found = workers_.find(worker);
  if (found != workers_.end()) {
    found->second.usable = usable;
  }
}

}  // namespace kcm::schedule
