#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::request {

/// How a minion is chosen among those with a free slot.
enum class RoutingStrategy : std::uint8_t {
  /// The nearest healthy one with the fewest requests from this gateway.
  kLeastLoaded,
  /// Each in turn, regardless of health and location.
  kRoundRobin,
  /// The less loaded of two random ones, regardless of health and location.
  kRandomTwo,
};

}  // namespace kcm::request

template <>
struct kcm::core::EnumNames<kcm::request::RoutingStrategy> {
  using Enum = kcm::request::RoutingStrategy;
  static constexpr std::array<EnumName<Enum>, 3> kRows = {{
      {Enum::kLeastLoaded, "least_loaded"},
      {Enum::kRoundRobin, "round_robin"},
      {Enum::kRandomTwo, "random_two"},
  }};
};
