#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::dispatch {

/// Why the term holder stops a run.
enum class StopCause : std::uint8_t {
  /// Its capacity is needed for more urgent work.
  kEvicted,
  /// Its worker leaves before the run can end.
  kWorkerLeaves,
  /// It had not begun when its worker's data centre was evacuated.
  kEvacuated,
  /// Its worker works much slower than others.
  kSlow,
  kHung,
  /// Another member of its gang ended.
  kGangBroken,
  /// Its job was cancelled, failed or withdrawn.
  kJobEnded,
  /// Its task is done by another run of its gang.
  kTaskDone,
};

}  // namespace kcm::dispatch

/// Names that the log and the metrics show.
template <>
struct kcm::core::EnumNames<kcm::dispatch::StopCause> {
  using Enum = kcm::dispatch::StopCause;
  static constexpr std::array<EnumName<Enum>, 8> kRows = {{
      {Enum::kEvicted, "evicted"},
      {Enum::kWorkerLeaves, "worker_leaves"},
      {Enum::kEvacuated, "evacuated"},
      {Enum::kSlow, "slow"},
      {Enum::kHung, "hung"},
      {Enum::kGangBroken, "gang_broken"},
      {Enum::kJobEnded, "job_ended"},
      {Enum::kTaskDone, "task_done"},
  }};
};
