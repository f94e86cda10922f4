#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::platform {

/// State of one lease, a reservation of a worker's capacity with a time limit,
/// and of the task started in it, as the worker reports it.
enum class LeaseState : std::uint8_t {
  /// The worker has no such lease: it expired or never existed.
  kUnknown,
  /// The capacity is reserved; no task was started.
  kHeld,
  kRunning,
  /// The task runs, slowed down by LeaseCommand::kThrottle.
  kThrottled,
  /// The task ended by itself, successfully.
  kDone,
  /// The task ended by itself with a failure.
  kFailed,
  /// The task saved a checkpoint and ended, by LeaseCommand::kCheckpoint.
  kCheckpointed,
  /// The lease was ended by LeaseCommand::kStop.
  kStopped,
};

}  // namespace kcm::platform

template <>
struct kcm::core::EnumNames<kcm::platform::LeaseState> {
  using Enum = kcm::platform::LeaseState;
  static constexpr std::array<EnumName<Enum>, 8> kRows = {{
      {Enum::kUnknown, "unknown"},
      {Enum::kHeld, "held"},
      {Enum::kRunning, "running"},
      {Enum::kThrottled, "throttled"},
      {Enum::kDone, "done"},
      {Enum::kFailed, "failed"},
      {Enum::kCheckpointed, "checkpointed"},
      {Enum::kStopped, "stopped"},
  }};
};
