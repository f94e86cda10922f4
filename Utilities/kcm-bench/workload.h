#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/policy_settings.h"
#include "LibState/fleet.h"
#include "LibState/job.h"
#include "LibState/row.h"

namespace kcm::bench {

/// Workers of a rack in the modelled fleets.
inline constexpr int kWorkersPerRack = 8;

/// A job of the list of arrivals, with what it really needs.
struct Arrival {
  core::Millis at = 0;
  core::Millis run_ms = 0;
  /// Row of the result table that the job counts in.
  std::string job_class;
  state::JobSpec spec;
};

/// Which list of arrivals is played.
struct Scenario {
  std::string user;
  /// steady, small-burst or large-burst.
  std::string load;
  /// Declared run times are off by ten, either way.
  bool wrong_declarations = false;
};

struct Workload {
  state::Fleet fleet;
  std::map<std::string, state::Row> rows;
  std::vector<Arrival> arrivals;
  /// The settings that the user gives the planner.
  schedule::PolicySettings settings;
};

/// Makes the arrivals of a scenario; the same seed gives the same list.
[[nodiscard]] auto MakeWorkload(const Scenario& scenario, std::uint64_t seed)
    -> Workload;

}  // namespace kcm::bench
