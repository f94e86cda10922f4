#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::state {

/// What may be done with a job whose running attempt was interrupted.
enum class Recovery : std::uint8_t {
  /// Runs at most once and cannot be interrupted and continued.
  kNone,
  /// Continues from its last checkpoint, never from the start.
  kCheckpointable,
  /// Idempotent: may be started afresh.
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
