#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibSchedule/policy_settings.h"
#include "LibState/account_row.h"
#include "LibState/fleet.h"
#include "LibState/job.h"

namespace kcm::bench {

/// Workers per rack in the simulated fleets.
inline constexpr int kWorkersPerRack = 8;

/// A job with its arrival time and its actual run time.
struct Arrival {
  core::Millis at = 0;
  core::Millis run_ms = 0;
  /// Class under which the results count the job.
  std::string job_class;
  state::JobSpec spec;
};

/// Selects the workload to simulate.
struct Scenario {
  /// The user of the system whose fleet and jobs are simulated: glintwater or
  /// espumarte.
  std::string user;
  /// steady, small-burst or large-burst.
  std::string load;
  /// Declared run times are wrong by a factor of ten, up or down.
  bool wrong_declarations = false;
};

struct Workload {
  state::Fleet fleet;
  /// Limits and guarantees of the client accounts, by account.
  std::map<std::string, state::AccountRow> rows;
  std::vector<Arrival> arrivals;
  /// The planner's settings of the scenario's user.
  schedule::PolicySettings settings;
};

/// Generates the workload of a scenario, the same for the same seed.
[[nodiscard]] auto MakeWorkload(const Scenario& scenario, std::uint64_t seed)
    -> Workload;

}  // namespace kcm::bench
