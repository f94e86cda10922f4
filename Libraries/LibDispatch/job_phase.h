#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::dispatch {

enum class JobPhase : std::uint8_t {
  /// No run of a task is known to have begun.
  kQueued,
  /// A run has begun at some time; all tasks may be waiting again.
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

[[nodiscard]] constexpr auto IsEnded(JobPhase phase) -> bool {
  return phase == JobPhase::kCompleted || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled;
}

}  // namespace kcm::dispatch

template <>
struct kcm::core::EnumNames<kcm::dispatch::JobPhase> {
  using Enum = kcm::dispatch::JobPhase;
  static constexpr std::array<EnumName<Enum>, 5> kRows = {{
      {Enum::kQueued, "queued"},
      {Enum::kRunning, "running"},
      {Enum::kCompleted, "completed"},
      {Enum::kFailed, "failed"},
      {Enum::kCancelled, "cancelled"},
  }};
};
