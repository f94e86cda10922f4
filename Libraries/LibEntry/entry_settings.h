#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibDispatch/dispatch_settings.h"

namespace kcm::entry {

/// What one entry process is told about itself and its surroundings.
struct EntrySettings {
  /// Name of this VM.
  std::string name;
  std::string data_centre;
  std::string region;
  /// Where callers connect.
  core::Address front;
  /// Where the platform asks whether to send callers here.
  core::Address ready;
  /// Where the other entry processes connect.
  core::Address peer;
  /// Where metrics are served.
  core::Address metrics;
  core::Address store;
  /// Other entry processes to ask first; some may be gone.
  std::vector<core::Address> seeds;
  /// Span between SIGTERM and the end of the process.
  core::Millis grace_ms = 6000;
  dispatch::DispatchSettings dispatch;
};

}  // namespace kcm::entry
