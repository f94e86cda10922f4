#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace kcm::dispatch {

class Dispatcher;

/// What a term holder knows of the work in an evacuated data centre.
struct EvacuationReport {
  /// Listed workers, and those of them that do not answer this holder: they may
  /// have runs that it does not know of.
  std::size_t workers = 0;
  std::size_t silent_workers = 0;
  /// Runs that have not ended, with those that are being stopped.
  std::size_t runs = 0;
  /// Runs by job, of a bounded number of jobs, and the number of other jobs.
  std::map<std::string, std::size_t> runs_by_job;
  std::size_t other_jobs = 0;
  /// It is known that nothing runs there.
  bool is_empty = false;
};

/// Takes time in proportion to the workers and their runs.
/// @param max_jobs how many jobs a report names at most.
/// @return a report on each evacuated data centre, also on one without workers.
[[nodiscard]] auto ReportEvacuations(const Dispatcher& dispatcher,
                                     std::size_t max_jobs)
    -> std::map<std::string, EvacuationReport>;

}  // namespace kcm::dispatch
