#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibState/fleet.h"
#include "LibState/job.h"

namespace kcm::schedule {

/// A worker with its free capacity.
struct WorkerModel {
  std::string id;
  std::string rack;
  std::int64_t free_cores = 0;
  std::int64_t free_memory_mb = 0;
  /// Indexes of free accelerators.
  std::vector<std::int64_t> free_accelerators;
  bool usable = true;
};

/// The workers of one data centre, by rack, for FindPlacement(). The planner
/// itself uses CellModel.
class FleetModel {
 public:
  FleetModel() = default;

  /// Builds the model of a data centre with everything free.
  FleetModel(const state::Fleet& fleet, const std::string& data_centre);

  /// Subtracts what a placed member occupies.
  auto Allocate(const state::Member& member, const state::Shape& shape) -> void;

  /// Adds back what a member occupied.
  auto Release(const state::Member& member, const state::Shape& shape) -> void;

  auto SetUsable(const std::string& worker, bool usable) -> void;

  [[nodiscard]] auto workers() const
      -> const std::map<std::string, WorkerModel>& {
    return workers_;
  }
  /// @return worker ids by rack.
  [[nodiscard]] auto racks() const
      -> const std::map<std::string, std::vector<std::string>>& {
    return racks_;
  }

 private:
  std::map<std::string, WorkerModel> workers_;
  std::map<std::string, std::vector<std::string>> racks_;
};

}  // namespace kcm::schedule
