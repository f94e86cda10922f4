#pragma once

#include <cstdint>
#include <vector>

namespace kcm::schedule {

/// Index of a worker in the WorkerTable.
using WorkerIndex = std::uint32_t;
/// Index of a rack; racks are numbered in the order of their names.
using RackIndex = std::uint32_t;

/// Members of one gang on one worker.
struct Allocation {
  WorkerIndex worker = 0;
  std::int64_t members = 0;

  auto operator==(const Allocation&) const -> bool = default;
};

/// Where a whole gang is placed, one entry per worker.
using Placement = std::vector<Allocation>;

}  // namespace kcm::schedule
