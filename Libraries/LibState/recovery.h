#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::state {

/// How a job may continue after its running attempt was interrupted.
enum class Recovery : std::uint8_t {
  /// Runs at most once and cannot continue after an interruption.
  kNone,
  /// Continues from its last checkpoint, never from the start.
  kCheckpointable,
  /// Idempotent: may be restarted from the start.
  kRestartable,
};

}  // namespace kcm::state

template <>
struct kcm::core::EnumNames<kcm::state::Recovery> {
  using Enum = kcm::state::Recovery;
  static constexpr std::array<EnumName<Enum>, 3> kRows = {{
      {Enum::kNone, "none"},
      {Enum::kCheckpointable, "checkpointable"},
      {Enum::kRestartable, "restartable"},
  }};
};
