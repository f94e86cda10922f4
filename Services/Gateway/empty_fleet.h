#pragma once

#include <map>
#include <string>

#include "LibSchedule/fleet_model.h"
#include "LibState/fleet.h"

namespace kcm::gateway {

/// Models of the data centres with all workers free, cached until an operator
/// replaces the recorded list of workers. A submitted job that does not fit
/// there is refused, because it never fits.
class EmptyFleet {
 public:
  /// @return the model of a data centre for the version of `fleet`.
  [[nodiscard]] auto ModelOf(const state::Fleet& fleet,
                             const std::string& data_centre)
      -> const schedule::FleetModel&;

 private:
  std::int64_t version_ = 0;
  std::map<std::string, schedule::FleetModel> models_;
};

}  // namespace kcm::gateway
