#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::net {

/// Why a server refused a request that has not run, or closed a connection.
enum class RefusalKind : std::uint8_t {
  kHeadTooLong,
  kBodyTooLong,
  kMalformed,
  kTooSlow,
  kIdle,
  kMemory,
  kConnections,
};

inline constexpr std::size_t kRefusalKinds = 7;

}  // namespace kcm::net

namespace kcm::core {

template <>
struct EnumNames<net::RefusalKind> {
  using Kind = net::RefusalKind;
  static constexpr std::array<EnumName<Kind>, net::kRefusalKinds> kRows = {{
      {Kind::kHeadTooLong, "head_too_long"},
      {Kind::kBodyTooLong, "body_too_long"},
      {Kind::kMalformed, "malformed"},
      {Kind::kTooSlow, "too_slow"},
      {Kind::kIdle, "idle"},
      {Kind::kMemory, "memory"},
      {Kind::kConnections, "connections"},
  }};
};

}  // namespace kcm::core
