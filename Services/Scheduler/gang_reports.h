#pragma once

#include <map>
#include <set>
#include <string>

#include "LibCore/clock.h"
#include "LibPlatform/worker_port.h"

namespace kcm::scheduler {

/// What the members of one placed gang reported last, by lease.
struct GangReports {
  std::int64_t attempt = 0;
  std::map<std::string, platform::LeaseReport> reports;
  /// Monotonic time of the last report.
  std::map<std::string, core::Millis> heard_at;
  /// Leases whose renewal is under way.
  std::set<std::string> renewing;
  /// The record that ends the attempt is on its way.
  bool ending = false;
};

}  // namespace kcm::scheduler
