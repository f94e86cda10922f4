#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibDispatch/dispatch_settings.h"

namespace kcm::entry {

struct EntrySettings {
  /// Name of this VM.
  std::string name;
  std::string data_centre;
  std::string region;
  /// Listening address for clients.
  core::Address front;
  /// Listening address for the platform's readiness checks.
  core::Address ready;
  /// Listening address for the other entry processes.
  core::Address peer;
  /// Listening address for metrics.
  core::Address metrics;
  core::Address store;
  /// Processor capacity of this VM in cores; zero if unknown.
  double cpu_capacity = 0;
  /// Memory of this VM; zero if unknown.
  std::int64_t memory_mb = 0;
  /// Descriptors that the process may have; zero if unknown.
  std::int64_t max_descriptors = 0;
  /// Peers to contact at the start; some may no longer exist.
  std::vector<core::Address> seeds;
  /// Time between SIGTERM and the end of the process.
  core::Millis grace_ms = 6000;
  /// No task may be started in a data centre that was evacuated longer ago;
  /// zero if there is no such bound.
  core::Millis evacuate_ms = 0;
  dispatch::DispatchSettings dispatch;
};

}  // namespace kcm::entry
