#include "LibState/guarantee_check.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace kcm::state {

namespace {

struct FreeWorker {
  std::string rack;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
};

struct Demand {
  std::string account;
  Shape shape;
};

auto MembersThatFit(const FreeWorker& worker, const Shape& shape)
    -> std::int64_t {
  auto members =
      std::min(worker.cores / std::max<std::int64_t>(shape.cores, 1),
               worker.memory_mb / std::max<std::int64_t>(shape.memory_mb, 1));
  if (shape.accelerators > 0) {
    members = std::min(members, worker.accelerators / shape.accelerators);
  }
  return members;
}

auto Allocate(FreeWorker& worker, const Shape& shape, std::int64_t members)
    -> void {
  worker.cores -= members * shape.cores;
  worker.memory_mb -= members * shape.memory_mb;
  worker.accelerators -= members * shape.accelerators;
}

/// Places a gang on the given workers, all or nothing.
auto TryPlace(const std::vector<FreeWorker*>& workers, const Shape& shape)
    -> bool {
  std::int64_t free_members = 0;
  for (const auto* worker : workers) {
    free_members += MembersThatFit(*worker, shape);
  }
  if (free_members < shape.members) {
    return false;
  }
  std::int64_t missing = shape.members;
  for (auto* worker : workers) {
    const auto taken = std::min(missing, MembersThatFit(*worker, shape));
    Allocate(*worker, shape, taken);
    missing -= taken;
  }
  return true;
}

/// @return the groups of workers that a gang of this adjacency may span.
auto GroupsOf(std::vector<FreeWorker>& workers, Adjacency adjacency)
    -> std::vector<std::vector<FreeWorker*>> {
  std::map<std::string, std::vector<FreeWorker*>> by_rack;
  std::vector<std::vector<FreeWorker*>> groups;
  for (auto& worker : workers) {
    by_rack[worker.rack].push_back(&worker);
    if (adjacency == Adjacency::kSameWorker) {
      groups.push_back({&worker});
    }
  }
  if (adjacency == Adjacency::kSameWorker) {
    return groups;
  }
  for (const auto& [rack, members] : by_rack) {
    groups.push_back(members);
  }
  if (adjacency == Adjacency::kSameRack) {
    return groups;
  }
  const std::size_t span =
      adjacency == Adjacency::kAnywhere ? groups.size() : 2;
  std::vector<std::vector<FreeWorker*>> spans;
  for (std::size_t first = 0; first + span <= groups.size(); ++first) {
    std::vector<FreeWorker*> joined;
    for (std::size_t i = first; i < first + span; ++i) {
      joined.insert(joined.end(), groups[i].begin(), groups[i].end());
    }
    spans.push_back(std::move(joined));
  }
  return spans.empty() ? groups : spans;
}

auto TryPlaceDemand(std::vector<FreeWorker>& workers, const Shape& shape)
    -> bool {
  for (auto& group : GroupsOf(workers, shape.adjacency)) {
    if (TryPlace(group, shape)) {
      return true;
    }
  }
  return false;
}

auto DemandsByDataCentre(const std::map<std::string, AccountRow>& rows)
    -> std::map<std::string, std::vector<Demand>> {
  std::map<std::string, std::vector<Demand>> demands;
  for (const auto& [account, row] : rows) {
    for (const auto& guarantee : row.guarantees) {
      for (std::int64_t i = 0; i < guarantee.count; ++i) {
        demands[guarantee.data_centre].push_back({account, guarantee.shape});
      }
    }
  }
  return demands;
}

auto LargestFirst(const Demand& left, const Demand& right) -> bool {
  const auto key = [](const Demand& demand) {
    return std::tuple(-TotalAccelerators(demand.shape),
                      -demand.shape.accelerators, demand.account);
  };
  return key(left) < key(right);
}

}  // namespace

auto IncreasesGuarantees(const std::vector<Guarantee>& before,
                         const std::vector<Guarantee>& after) -> bool {
  std::vector<Guarantee> left = before;
  for (const auto& guarantee : after) {
    const auto held =
        std::find_if(left.begin(), left.end(), [&](const Guarantee& other) {
          return other.data_centre == guarantee.data_centre &&
                 other.shape == guarantee.shape &&
                 other.count >= guarantee.count;
        });
    if (held == left.end()) {
      return true;
    }
    left.erase(held);
  }
  return false;
}

auto CheckGuarantees(const std::map<std::string, AccountRow>& rows,
                     const Fleet& fleet) -> ApplyResult {
  auto demands = DemandsByDataCentre(rows);
  for (auto& [data_centre, local_demands] : demands) {
    std::vector<FreeWorker> workers;
    for (const auto& worker : fleet.workers) {
      if (worker.data_centre == data_centre) {
        workers.push_back(
            {worker.rack, worker.cores, worker.memory_mb, worker.accelerators});
      }
    }
    std::stable_sort(local_demands.begin(), local_demands.end(), LargestFirst);
    for (const auto& demand : local_demands) {
      if (!TryPlaceDemand(workers, demand.shape)) {
        return ApplyResult::Reject(
            core::ErrorKind::kNeverFits, "guarantees",
            "The guarantee of " + demand.account + " for " +
                std::to_string(demand.shape.members) + " members with " +
                std::to_string(demand.shape.accelerators) +
                " accelerators each does not fit into " + data_centre +
                " beside the other guarantees.");
      }
    }
  }
  return ApplyResult::Accept();
}

}  // namespace kcm::state
