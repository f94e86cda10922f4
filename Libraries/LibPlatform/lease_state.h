#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::platform {

/// State of one lease, as its worker reports it.
enum class LeaseState : std::uint8_t {
  /// The worker has no such lease: it expired or never existed.
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
