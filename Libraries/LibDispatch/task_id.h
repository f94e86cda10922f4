#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace kcm::dispatch {

/// Identifies one task of one job.
struct TaskId {
  std::string job;
  /// Index of the job's occurrence; zero for a job without a schedule.
  std::int64_t occurrence = 0;
  /// Index of the step in the job's specification.
  std::int64_t step = 0;
  /// Index of the task in its step.
  std::int64_t index = 0;

  auto operator<=>(const TaskId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace kcm::dispatch
