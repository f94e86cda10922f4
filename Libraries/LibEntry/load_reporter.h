#pragma once

#include <ctime>
#include <map>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibNet/traffic_meter.h"

namespace kcm::entry {

/// Reports each second how busy a process is: its processor time, how late its
/// event loop is, and what it exchanges by kind.
class LoadReporter {
 public:
  /// Records that a periodic task runs, which is later the longer the queue of
  /// the event loop is.
  auto RecordTick(core::Millis now, core::Millis period_ms) -> void;

  /// @return the fields of a report about the time since the last one; nothing
  ///     before a second has passed since it.
  [[nodiscard]] auto TakeReport(
      core::Millis now,
      const std::map<std::string, net::TrafficCount>& traffic)
      -> std::optional<core::Json>;

 private:
  core::Millis last_tick_at_ = 0;
  core::Millis max_lag_ms_ = 0;
  core::Millis last_report_at_ = 0;
  std::clock_t last_cpu_time_ = 0;
  std::map<std::string, net::TrafficCount> last_traffic_;
};

}  // namespace kcm::entry
