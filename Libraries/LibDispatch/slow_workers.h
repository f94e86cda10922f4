#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Speed of one run, in percent a millisecond.
struct RunSpeed {
  std::string worker;
  double speed = 0;
};

/// Finds workers that work much slower than the rest of the fleet.
///
/// The declared run times of jobs are too rough to judge a worker by, but the
/// tasks of one step are alike: runs of the same step on different workers are
/// compared with each other. A run of usual speed clears its worker.
class SlowWorkers {
 public:
  /// @param count number of workers in the fleet.
  auto set_fleet_size(std::size_t count) -> void { fleet_size_ = count; }

  /// Judges workers by the runs of one step, of tasks that work alone: the
  /// members of a gang are all as slow as the slowest.
  auto Compare(const std::vector<RunSpeed>& runs, core::Millis now) -> void;

  /// @return workers that have become slow since the last call, by the
  ///     comparisons of all steps.
  [[nodiscard]] auto TakeFound(core::Millis now) -> std::vector<std::string>;

  /// @return whether the worker was seen to be slow within the last seconds.
  [[nodiscard]] auto IsSlow(const std::string& worker, core::Millis now) const
      -> bool;

  /// @return whether new runs are kept off slow workers, which is not so if
  ///     they make up a large part of the fleet.
  [[nodiscard]] auto MayAvoid(core::Millis now) const -> bool;

 private:
  struct Record {
    core::Millis slow_at = 0;
    core::Millis sound_at = 0;
    /// TakeFound() has returned it, and it has been slow since.
    bool found = false;
  };

  [[nodiscard]] static auto IsSlow(const Record& record, core::Millis now)
      -> bool;

  std::map<std::string, Record> records_;
  std::size_t fleet_size_ = 0;
};

}  // namespace kcm::dispatch
