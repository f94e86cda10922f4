#pragma once

#include <algorithm>
#include <cstdint>

#include "LibState/shape.h"

namespace kcm::schedule {

/// Resources of a worker or demand of a set of members. Free capacity may be
/// negative while a hold overlaps with gangs that still run.
struct Capacity {
  std::int64_t accelerators = 0;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;

  auto operator==(const Capacity&) const -> bool = default;

  auto operator+=(const Capacity& other) -> Capacity& {
    accelerators += other.accelerators;
    cores += other.cores;
    memory_mb += other.memory_mb;
    return *this;
  }
  auto operator-=(const Capacity& other) -> Capacity& {
    accelerators -= other.accelerators;
    cores -= other.cores;
    memory_mb -= other.memory_mb;
    return *this;
  }
};

/// @return the demand of `members` members of the shape.
[[nodiscard]] constexpr auto CapacityOf(const state::Shape& shape,
                                        std::int64_t members) -> Capacity {
  return {shape.accelerators * members, shape.cores * members,
          shape.memory_mb * members};
}

/// @return the minimum of both in each dimension.
[[nodiscard]] constexpr auto Least(const Capacity& left, const Capacity& right)
    -> Capacity {
  return {std::min(left.accelerators, right.accelerators),
          std::min(left.cores, right.cores),
          std::min(left.memory_mb, right.memory_mb)};
}

/// @return how many members of the shape fit at once.
[[nodiscard]] constexpr auto MembersThatFit(const Capacity& free,
                                            const state::Shape& shape)
    -> std::int64_t {
  auto members =
      std::min(free.cores / std::max<std::int64_t>(shape.cores, 1),
               free.memory_mb / std::max<std::int64_t>(shape.memory_mb, 1));
  if (shape.accelerators > 0) {
    members = std::min(members, free.accelerators / shape.accelerators);
  }
  return std::max<std::int64_t>(members, 0);
}

}  // namespace kcm::schedule
