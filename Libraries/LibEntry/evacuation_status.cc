#include "LibEntry/evacuation_status.h"

#include <algorithm>

namespace kcm::entry {

namespace {

auto ToJson(const dispatch::EvacuationReport& report) -> core::Json {
  auto jobs = core::Json::array();
  for (const auto& [job, runs] : report.runs_by_job) {
    jobs.push_back({{"job", job}, {"runs", runs}});
  }
  return {{"workers", report.workers},
          {"silent_workers", report.silent_workers},
          {"runs", report.runs},
          {"jobs", jobs},
          {"other_jobs", report.other_jobs},
          {"empty", report.is_empty}};
}

auto ToSeconds(core::Millis duration) -> double {
  return static_cast<double>(duration) / core::kMillisPerSecond;
}

}  // namespace

auto ToStatusDocument(const EvacuationStatus& status) -> core::Json {
  auto data_centres = core::Json::array();
  for (const auto& [data_centre, since] : status.since) {
    core::Json row = {{"data_centre", data_centre}, {"since_ms", since}};
    const auto report = status.reports.find(data_centre);
    if (report != status.reports.end()) {
      row.update(ToJson(report->second));
    }
    data_centres.push_back(std::move(row));
  }
  core::Json document = {{"name", status.name},
                         {"is_holder", status.is_holder},
                         {"holder", nullptr},
                         {"evacuated", std::move(data_centres)}};
  if (status.epoch > 0) {
    document["holder"] = {{"name", status.holder},
                          {"epoch", status.epoch},
                          {"status_address", status.holder_status.ToString()}};
  }
  if (status.is_holder) {
    document["may_start"] = status.may_start;
    document["read_age_ms"] = status.read_age_ms
                                  ? core::Json(*status.read_age_ms)
                                  : core::Json(nullptr);
  }
  return document;
}

auto SetEvacuationGauges(const EvacuationStatus& status,
                         core::Millis now,
                         node::Metrics& metrics) -> void {
  constexpr auto kLabel = "data_centre";
  std::map<std::string, double> seconds;
  for (const auto& [data_centre, since] : status.since) {
    seconds[data_centre] = ToSeconds(std::max<core::Millis>(now - since, 0));
  }
  metrics.SetAll("evacuated_seconds", kLabel, seconds);
  std::map<std::string, double> runs;
  for (const auto& [data_centre, report] : status.reports) {
    runs[data_centre] = static_cast<double>(report.runs);
  }
  metrics.SetAll("evacuated_runs", kLabel, runs);
  std::map<std::string, double> age;
  if (status.is_holder && status.read_age_ms) {
    age[""] = ToSeconds(*status.read_age_ms);
  }
  metrics.SetAll("evacuations_read_age_seconds", "", age);
}

}  // namespace kcm::entry
