#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibDispatch/resources.h"

namespace kcm::dispatch {

/// A worker as listed by the platform.
struct WorkerInfo {
  std::string id;
  /// Start time of the worker's incarnation, since the Unix epoch. A worker
  /// that crashed and restarted under the same id has a later one.
  std::int64_t incarnation = 0;
  /// Pool of workers to which this one belongs.
  std::string service;
  core::Address address;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  /// Accepts no new work and is about to leave.
  bool draining = false;
  /// Minimum time until a draining worker leaves.
  core::Millis leaves_in_ms = 0;

  auto operator==(const WorkerInfo&) const -> bool = default;
};

}  // namespace kcm::dispatch
