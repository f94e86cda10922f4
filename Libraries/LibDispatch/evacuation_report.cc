#include "LibDispatch/evacuation_report.h"

#include <set>
#include <string>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

auto AddSession(const WorkerSession& session,
                std::size_t max_jobs,
                std::set<std::string>& other_jobs,
                EvacuationReport& report) -> void {
  if (session.is_listed()) {
    ++report.workers;
    report.silent_workers += session.is_answering() ? 0 : 1;
  }
  report.runs += session.runs().size() + session.orphan_run_count();
  for (const auto& [task, run] : session.runs()) {
    const auto known = report.runs_by_job.find(task.job);
    if (known != report.runs_by_job.end()) {
      ++known->second;
    } else if (report.runs_by_job.size() < max_jobs) {
      report.runs_by_job.emplace(task.job, 1);
    } else {
      other_jobs.insert(task.job);
    }
  }
}

}  // namespace

auto ReportEvacuations(const Dispatcher& dispatcher, std::size_t max_jobs)
    -> std::map<std::string, EvacuationReport> {
  std::map<std::string, EvacuationReport> reports;
  std::map<std::string, std::set<std::string>> other_jobs;
  for (const auto& data_centre : dispatcher.evacuated()) {
    reports[data_centre];
  }
  // A run whose worker this holder has not seen listed may be anywhere.
  auto has_unlocated_runs = false;
  for (const auto& [id, session] : dispatcher.sessions()) {
    const auto& data_centre = session.info().data_centre;
    has_unlocated_runs =
        has_unlocated_runs || (data_centre.empty() && !session.is_idle());
    const auto found = reports.find(data_centre);
    if (found != reports.end()) {
      AddSession(session, max_jobs, other_jobs[data_centre], found->second);
    }
  }
  for (auto& [data_centre, report] : reports) {
    report.other_jobs = other_jobs[data_centre].size();
    report.is_empty = dispatcher.is_fleet_known() && !has_unlocated_runs &&
                      report.runs == 0 && report.silent_workers == 0;
  }
  return reports;
}

}  // namespace kcm::dispatch
