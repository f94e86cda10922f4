#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::dispatch {

/// How a run ended.
enum class RunEnd : std::uint8_t {
  kDone,
  /// Through the task's own fault or its worker's.
  kFailed,
  kStopped,
  /// Its lease ran out.
  kLapsed,
  /// Another member of its gang ended.
  kBroken,
  /// Its gang did not come together in time.
  kAlone,
  /// The worker said that it never began, or lost it in a crash.
  kVanished,
};

}  // namespace kcm::dispatch

template <>
struct kcm::core::EnumNames<kcm::dispatch::RunEnd> {
  using Enum = kcm::dispatch::RunEnd;
  static constexpr std::array<EnumName<Enum>, 7> kRows = {{
      {Enum::kDone, "done"},
      {Enum::kFailed, "failed"},
      {Enum::kStopped, "stopped"},
      {Enum::kLapsed, "lapsed"},
      {Enum::kBroken, "broken"},
      {Enum::kAlone, "alone"},
      {Enum::kVanished, "vanished"},
  }};
};
