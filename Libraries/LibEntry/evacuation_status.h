#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibDispatch/evacuation_report.h"
#include "LibNode/metrics.h"

namespace kcm::entry {

/// What an entry process can tell operators of evacuated data centres.
struct EvacuationStatus {
  /// This process.
  std::string name;
  bool is_holder = false;
  /// The term holder and where it serves its own status; epoch zero if none is
  /// known.
  std::int64_t epoch = 0;
  std::string holder;
  core::Address holder_status;
  /// When this process first read that a data centre is evacuated, since the
  /// Unix epoch; by data centre.
  std::map<std::string, core::Millis> since;
  /// Of the holder only: age of its newest complete read of the operators'
  /// table, nothing if there was none; whether it may start tasks; and what is
  /// left in the evacuated data centres.
  std::optional<core::Millis> read_age_ms;
  bool may_start = false;
  std::map<std::string, dispatch::EvacuationReport> reports;
};

/// @return the document that operators get.
[[nodiscard]] auto ToStatusDocument(const EvacuationStatus& status)
    -> core::Json;

/// Sets the gauges on evacuations. Those of the holder have no series
/// elsewhere.
/// @param now since the Unix epoch.
auto SetEvacuationGauges(const EvacuationStatus& status,
                         core::Millis now,
                         node::Metrics& metrics) -> void;

}  // namespace kcm::entry
