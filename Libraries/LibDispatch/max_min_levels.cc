#include "LibDispatch/max_min_levels.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace kcm::dispatch {

namespace {

constexpr auto kNoLevel = std::numeric_limits<double>::infinity();

/// @return the level, as dominant share by weight, at which a demand is met.
auto MetAt(const ShareDemand& demand) -> double {
  return DominantOf(demand.demand) / demand.weight;
}

/// @param by_level the demands that still grow, by the level of MetAt().
/// @return the level at which a resource is exhausted; infinite for none.
auto ExhaustedAt(const std::vector<ShareDemand>& demands,
                 const std::vector<std::size_t>& by_level,
                 const ResourceShares& available,
                 std::size_t resource) -> double {
  double slope = 0;
  for (const auto index : by_level) {
    const auto& demand = demands[index];
    slope += demand.demand[resource] / MetAt(demand);
  }
  double met = 0;
  for (const auto index : by_level) {
    const auto& demand = demands[index];
    const auto level = MetAt(demand);
    if (met + slope * level > available[resource]) {
      return std::max(available[resource] - met, 0.0) / slope;
    }
    met += demand.demand[resource];
    slope -= demand.demand[resource] / level;
  }
  return kNoLevel;
}

}  // namespace

auto DominantOf(const ResourceShares& shares) -> double {
  return *std::max_element(shares.begin(), shares.end());
}

auto MaxMinLevels(const std::vector<ShareDemand>& demands,
                  const ResourceShares& available) -> std::vector<double> {
  std::vector<double> levels(demands.size(), 1);
  std::vector<std::size_t> growing;
  for (std::size_t index = 0; index < demands.size(); ++index) {
    if (DominantOf(demands[index].demand) > 0) {
      growing.push_back(index);
    }
  }
  std::stable_sort(growing.begin(), growing.end(),
                   [&](std::size_t left, std::size_t right) {
                     return MetAt(demands[left]) < MetAt(demands[right]);
                   });
  auto left = available;
  // Each round exhausts a resource.
  for (std::size_t round = 0; round < left.size() && !growing.empty();
       ++round) {
    auto level = kNoLevel;
    std::size_t exhausted = 0;
    for (std::size_t resource = 0; resource < left.size(); ++resource) {
      const auto at = ExhaustedAt(demands, growing, left, resource);
      if (at < level) {
        level = at;
        exhausted = resource;
      }
    }
    if (level == kNoLevel) {
      break;
    }
    std::erase_if(growing, [&](std::size_t index) {
      const auto& demand = demands[index];
      if (demand.demand[exhausted] <= 0) {
        return false;
      }
      levels[index] = std::min(demand.weight * level, 1.0);
      const auto part = std::min(level / MetAt(demand), 1.0);
      for (std::size_t resource = 0; resource < left.size(); ++resource) {
        left[resource] =
            std::max(left[resource] - part * demand.demand[resource], 0.0);
      }
      return true;
    });
  }
  return levels;
}

}  // namespace kcm::dispatch
