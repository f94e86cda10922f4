#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::dispatch {

/// How a run ended.
enum class RunEnd : std::uint8_t {
  kDone,
  /// The task or its worker failed.
  kFailed,
  kStopped,
  /// Its lease expired.
  kLapsed,
  /// Another member of its gang ended before it was done.
  kGangBroken,
  /// The other members of its gang did not start in time.
  kGangTimedOut,
  /// It never began on the worker, or the worker lost it in a crash.
  kLost,
};

}  // namespace kcm::dispatch

/// Names that workers report and the log shows: "alone" for a member whose gang
/// did not start in time, "vanished" for a run that was lost.
template <>
struct kcm::core::EnumNames<kcm::dispatch::RunEnd> {
  using Enum = kcm::dispatch::RunEnd;
  static constexpr std::array<EnumName<Enum>, 7> kRows = {{
      {Enum::kDone, "done"},
      {Enum::kFailed, "failed"},
      {Enum::kStopped, "stopped"},
      {Enum::kLapsed, "lapsed"},
      {Enum::kGangBroken, "broken"},
      {Enum::kGangTimedOut, "alone"},
      {Enum::kLost, "vanished"},
  }};
};
