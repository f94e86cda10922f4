#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibCore/clock.h"

namespace kcm::entry {

/// State of the term holder as last known to this process.
struct HolderView {
  /// Zero if no holder is known.
  std::int64_t epoch = 0;
  std::string name;
  core::Address address;
  /// Processor capacity of the holder's VM in cores; zero if unknown.
  double cpu_capacity = 0;
  /// Last contact of any process with the holder, steady clock.
  core::Millis last_contact_at = 0;
  /// Since when the holder's appends have failed, as it reported.
  std::optional<core::Millis> store_outage_since;
  /// Since when the holder has reported that it is still reading the state and
  /// takes no requests; nothing if it takes them.
  std::optional<core::Millis> recovering_since;
  /// The holder reported that it resigned the term or does not hold it.
  bool resigned = false;
};

}  // namespace kcm::entry
