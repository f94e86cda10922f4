// Logs what the run times of queues are taken for.

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// So many queues are logged at a time, this often, so that the log grows by
/// less than a line a second.
constexpr std::size_t kReportedQueues = 4;
constexpr core::Millis kReportPeriodMs = 5000;

}  // namespace

auto Dispatcher::ReportRunTimes(ClockReading now) -> void {
  if (now.steady < next_run_times_at_ || runs_since_report_.empty()) {
    return;
  }
  next_run_times_at_ = now.steady + kReportPeriodMs;
  std::vector<std::pair<std::string, std::int64_t>> busiest(
      runs_since_report_.begin(), runs_since_report_.end());
  std::stable_sort(busiest.begin(), busiest.end(),
                   [](const auto& left, const auto& right) {
                     return left.second > right.second;
                   });
  busiest.resize(std::min(busiest.size(), kReportedQueues));
  for (const auto& [queue, runs] : busiest) {
    const auto summary = estimates_.SummaryOf(queue);
    RecordDecision(core::Event::kRunTimes, {{"queue", queue},
                                            {"runs", runs},
                                            {"samples", summary.samples},
                                            {"median", summary.median},
                                            {"upper", summary.upper},
                                            {"mean", summary.mean}});
    // The others are logged once they have the most runs.
    runs_since_report_.erase(queue);
  }
}

}  // namespace kcm::dispatch
