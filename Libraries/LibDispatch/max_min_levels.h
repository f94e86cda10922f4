#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace kcm::dispatch {

/// Parts of a pool's cores, memory and accelerators.
using ResourceShares = std::array<double, 3>;

/// What one account would use if it were alone.
struct ShareDemand {
  double weight = 1;
  ResourceShares demand{};
};

/// @return the largest of the parts.
[[nodiscard]] auto DominantOf(const ResourceShares& shares) -> double;

/// Divides a pool by weighted max-min fairness on dominant shares, with
/// progressive filling: the dominant shares of all accounts grow in proportion
/// to their weights until their demand is met or a resource that they use is
/// exhausted. The cost grows with the number of demands only.
/// @param available what can be divided, as parts of the pool.
/// @return for each demand the dominant share, not bounded by the demand, at
///     which it stops growing; one if no resource that it uses is exhausted.
[[nodiscard]] auto MaxMinLevels(const std::vector<ShareDemand>& demands,
                                const ResourceShares& available)
    -> std::vector<double>;

}  // namespace kcm::dispatch
