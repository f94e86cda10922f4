#include "empty_fleet.h"

namespace kcm::gateway {

auto EmptyFleet::ModelOf(const state::Fleet& fleet,
                         const std::string& data_centre)
    -> const schedule::FleetModel& {
  if (fleet.version != version_) {
    models_.clear();
    version_ = fleet.version;
  }
  auto found = models_.find(data_centre);
  if (found == models_.end()) {
    found =
        models_.emplace(data_centre, schedule::FleetModel(fleet, data_centre))
            .first;
  }
  return found->second;
}

}  // namespace kcm::gateway
