#pragma once

#include <map>
#include <string>
#include <vector>

#include "strategy.h"
#include "workload.h"

namespace kcm::bench {

/// Results of one simulated run.
struct Outcome {
  /// Completion times in seconds by class; "all" has every job.
  std::map<std::string, std::vector<double>> completion_s;
  /// Seconds from submission to the first start of gangs that their account's
  /// guaranteed capacity covers.
  std::vector<double> guaranteed_wait_s;
  /// Seconds from the first preemption of others for a waiting gang to its
  /// start.
  std::vector<double> reclaim_s;
  /// Share of free accelerators that the largest waiting gang cannot use.
  double unusable_of_free = 0;
  /// The same accelerators as a share of the fleet.
  double stranded = 0;
  /// Useful work over capacity until the last arrival.
  double utilisation = 0;
  std::int64_t preemptions = 0;
};

/// Simulates the arrivals under a strategy on a virtual clock.
[[nodiscard]] auto Simulate(const Workload& workload, Strategy& strategy)
    -> Outcome;

[[nodiscard]] auto Mean(const std::vector<double>& values) -> double;
/// @param share 0 to 1, for example 0.95.
/// @return the value that this share of the values does not exceed; 0 without
///     values.
[[nodiscard]] auto Percentile(std::vector<double> values, double share)
    -> double;

}  // namespace kcm::bench
