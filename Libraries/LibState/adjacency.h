#pragma once

#include <array>
#include <cstdint>

#include "LibCore/enum_names.h"

namespace kcm::state {

/// How close to each other the members of a gang must run.
enum class Adjacency : std::uint8_t {
  kSameRack,
  kSameWorker,
  /// At most two racks, which follow each other in the order of names.
  kNeighbouringRacks,
  kAnywhere,
};

}  // namespace kcm::state

template <>
struct kcm::core::EnumNames<kcm::state::Adjacency> {
  using Enum = kcm::state::Adjacency;
  static constexpr std::array<EnumName<Enum>, 4> kRows = {{
      {Enum::kSameRack, "same_rack"},
      {Enum::kSameWorker, "same_worker"},
      {Enum::kNeighbouringRacks, "neighbouring_racks"},
      {Enum::kAnywhere, "anywhere"},
  }};
};
