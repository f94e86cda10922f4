#pragma once

#include <map>
#include <set>
#include <string>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Cordons workers on which runs fail, hang or are refused.
class WorkerHealth {
 public:
  /// Records a failed run.
  /// @return whether the worker is cordoned because of it.
  auto RecordFailure(const std::string& worker,
                     const std::string& job,
                     core::Millis now) -> bool;

  /// Records a run without progress; cordons the worker.
  auto RecordHang(const std::string& worker, core::Millis now) -> void;

  /// Records a start that the worker refused or did not answer.
  auto RecordRefusal(const std::string& worker, core::Millis now) -> void;

  /// Records a completed run.
  auto RecordSuccess(const std::string& worker) -> void;

  [[nodiscard]] auto IsCordoned(const std::string& worker,
                                core::Millis now) const -> bool;

 private:
  struct Record {
    /// Jobs with a failed run since a run last completed.
    std::set<std::string> failed_jobs;
    core::Millis cordoned_until = 0;
  };

  std::map<std::string, Record> records_;
};

}  // namespace kcm::dispatch
