#pragma once

#include <cstdint>
#include <optional>

#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibState/adjacency.h"

namespace kcm::state {

/// Longest name of an account, a data centre or a key, in bytes.
inline constexpr double kMaxNameLength = 128;

/// Resources of a gang: equal members and how close they must be.
struct Shape {
  std::int64_t members = 1;
  /// Accelerators of each member.
  std::int64_t accelerators = 1;
  /// Processor cores of each member.
  std::int64_t cores = 1;
  /// Memory of each member, in megabytes.
  std::int64_t memory_mb = 1024;
  Adjacency adjacency = Adjacency::kSameRack;

  auto operator==(const Shape&) const -> bool = default;
};

KCM_JSON(Shape, members, accelerators, cores, memory_mb, adjacency)

/// Reads and validates a shape of a request.
/// @return the shape, or nothing with `reason` naming the JSON field.
[[nodiscard]] auto ReadShape(const core::Json& document, core::Reason& reason)
    -> std::optional<Shape>;

/// @return accelerators of the whole gang.
[[nodiscard]] constexpr auto TotalAccelerators(const Shape& shape)
    -> std::int64_t {
  return shape.members * shape.accelerators;
}

}  // namespace kcm::state
