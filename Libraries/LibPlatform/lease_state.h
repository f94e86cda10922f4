#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::platform {

/// What a worker reports of one lease.
enum class LeaseState : std::uint8_t {
  /// The worker does not know the lease: it lapsed or never was.
  kUnknown,
  kHeld,
  kRunning,
  kThrottled,
  kDone,
  kFailed,
  kCheckpointed,
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
