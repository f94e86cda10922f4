#pragma once

#include <map>
#include <set>
#include <string>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Cordons workers on which runs fail, hang or are refused: no new runs are
/// placed on a cordoned worker for a time, and its current runs go on.
class WorkerHealth {
 public:
  /// Records a failed run. Cordons the worker for 8 s once runs of two jobs
  /// have failed with no completed run in between, as one job may itself be at
  /// fault.
  /// @return whether this failure cordons the worker.
  auto RecordFailure(const std::string& worker,
                     const std::string& job,
                     core::Millis now) -> bool;

  /// Records a run without progress and cordons the worker for 8 s.
  auto RecordHang(const std::string& worker, core::Millis now) -> void;

  /// Records a start that the worker refused or did not answer, and cordons the
  /// worker for at least 500 ms.
  auto RecordRefusal(const std::string& worker, core::Millis now) -> void;

  /// Records a completed run; earlier failures no longer count.
  auto RecordSuccess(const std::string& worker) -> void;

  /// @return whether no new runs may be placed on the worker now.
  [[nodiscard]] auto IsCordoned(const std::string& worker,
                                core::Millis now) const -> bool;

 private:
  struct Record {
    /// Jobs with a failed run since a run last completed.
    std::set<std::string> failed_jobs;
    /// No new runs are placed on the worker before this time.
    core::Millis cordoned_until = 0;
  };

  std::map<std::string, Record> records_;
};

}  // namespace kcm::dispatch
