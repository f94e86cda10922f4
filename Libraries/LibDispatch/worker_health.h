#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Cordons workers on which runs fail, hang or are refused: no new runs are
/// placed on a cordoned worker for a time, and its current runs go on.
class WorkerHealth {
 public:
  /// @param count number of workers in the fleet.
  auto set_fleet_size(std::size_t count) -> void { fleet_size_ = count; }

  /// Records a failed run. Cordons the worker for 8 s once runs of two jobs
  /// have failed with no completed run in between, as one job may itself be at
  /// fault. A run that failed at once cordons it alone, unless a tenth of the
  /// fleet is cordoned so: a worker that fails all that it starts always has
  /// free capacity, and would get the next attempts too.
  /// @param at_once the run failed within a small part of its run time.
  /// @return whether this failure cordons the worker.
  auto RecordFailure(const std::string& worker,
                     const std::string& job,
                     bool at_once,
                     core::Millis now) -> bool;

  /// @return when a run last failed at once; zero if none did.
  [[nodiscard]] auto failed_at_once_at() const -> core::Millis {
    return failed_at_once_at_;
  }

  /// Records a run without progress and cordons the worker for 8 s.
  auto RecordHang(const std::string& worker, core::Millis now) -> void;

  /// Records a start that the worker refused or did not answer, and cordons the
  /// worker for at least 500 ms.
  auto RecordRefusal(const std::string& worker, core::Millis now) -> void;

  /// Sets since when crashes have been recorded.
  auto set_watched_since(core::Millis since) -> void { watched_since_ = since; }

  /// Records that a worker crashed and that one is back at its address, maybe
  /// under another id.
  /// @param is_explained a task may have crashed it.
  /// @return whether it, or any worker without such a task, may have crashed
  ///     within the last 10 s before.
  auto RecordCrash(const std::string& address,
                   bool is_explained,
                   core::Millis now) -> bool;
  /// @return whether a worker at the address has crashed within the last 10 s.
  [[nodiscard]] auto HasCrashed(const std::string& address,
                                core::Millis now) const -> bool;

  /// Records a completed run; earlier failures no longer count.
  /// @param began_at when the run began; zero if unknown.
  auto RecordSuccess(const std::string& worker, core::Millis began_at) -> void;
  /// @return when the newest run that the worker completed began; zero if none.
  [[nodiscard]] auto ProvenAt(const std::string& worker) const -> core::Millis;

  /// @return whether no new runs may be placed on the worker now.
  [[nodiscard]] auto IsCordoned(const std::string& worker,
                                core::Millis now) const -> bool;

 private:
  struct Record {
    /// Jobs with a failed run since a run last completed.
    std::set<std::string> failed_jobs;
    /// No new runs are placed on the worker before this time.
    core::Millis cordoned_until = 0;
    /// The cordon rests on a single run that failed at once.
    bool is_suspected = false;
    core::Millis proven_at = 0;
  };

  /// @return whether few enough workers are cordoned for a single run.
  [[nodiscard]] auto MaySuspect(core::Millis now) const -> bool;

  std::map<std::string, Record> records_;
  /// When a worker was last seen to be back from a crash, by address.
  std::map<std::string, core::Millis> crashed_at_;
  std::size_t fleet_size_ = 0;
  core::Millis failed_at_once_at_ = 0;
  core::Millis watched_since_ = 0;
  /// When a worker last crashed that no task may have crashed.
  std::optional<core::Millis> unexplained_crash_at_;
};

}  // namespace kcm::dispatch
