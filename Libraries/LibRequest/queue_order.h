#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::request {

/// Order in which the queued requests of one account are served.
enum class QueueOrder : std::uint8_t {
  kFirstIn,
  kEarliestDeadline,
  kLastIn,
};

}  // namespace kcm::request

template <>
struct kcm::core::EnumNames<kcm::request::QueueOrder> {
  using Enum = kcm::request::QueueOrder;
  static constexpr std::array<EnumName<Enum>, 3> kRows = {{
      {Enum::kFirstIn, "first_in"},
      {Enum::kEarliestDeadline, "earliest_deadline"},
      {Enum::kLastIn, "last_in"},
  }};
};
