#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::state {

/// State of a job.
enum class JobStatus : std::uint8_t {
  /// Waits for a placement: new or requeued.
  kAccepted,
  /// The log has the placement; the members are started or running.
  kPlaced,
  /// Set by no record of this version; a running job is kPlaced.
  kRunning,
  kDone,
  /// The task failed, or the planner refused the job.
  kFailed,
  kCancelled,
  /// The attempt was interrupted, may have run, and cannot be continued.
  kLost,
};

/// @return whether the job will never run again.
[[nodiscard]] constexpr auto IsEnded(JobStatus status) -> bool {
  return status >= JobStatus::kDone;
}

}  // namespace kcm::state

template <>
struct kcm::core::EnumNames<kcm::state::JobStatus> {
  using Enum = kcm::state::JobStatus;
  static constexpr std::array<EnumName<Enum>, 7> kRows = {{
      {Enum::kAccepted, "accepted"},
      {Enum::kPlaced, "placed"},
      {Enum::kRunning, "running"},
      {Enum::kDone, "done"},
      {Enum::kFailed, "failed"},
      {Enum::kCancelled, "cancelled"},
      {Enum::kLost, "lost"},
  }};
};
