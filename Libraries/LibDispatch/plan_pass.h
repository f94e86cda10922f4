#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "LibDispatch/account_shares.h"
#include "LibDispatch/failed_searches.h"
#include "LibDispatch/fleet_view.h"

namespace kcm::dispatch {

/// State of one planning pass.
struct PlanPass {
  FleetView fleet;
  /// The runs of the workers are in the view.
  bool has_runs = false;
  /// Number of steps with reserved capacity that does not open soon.
  int reservations = 0;
  /// Number of searches outside of the racks that steps prefer.
  int searches_elsewhere = 0;
  /// Some capacity is reserved.
  bool has_reserved = false;
  /// How many more suspects of a job may be started, by job.
  std::map<std::string, std::int64_t> suspect_slots;
  /// What steps planned so far still wait for, by pool and account.
  std::map<std::string, WaitingDemand> still_waiting;
  /// Groups of which some step that may start does not fit, by pool.
  std::set<std::pair<std::string, OrderGroup>> groups_without_room;
  FailedSearches no_capacity{FailedSearches::Goal::kPlacement};
  FailedSearches no_capacity_after_stops{FailedSearches::Goal::kPlacement};
  FailedSearches not_open_soon{FailedSearches::Goal::kAllTasks};
  FailedSearches no_evictions{FailedSearches::Goal::kAllTasks};
};

}  // namespace kcm::dispatch
