#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "LibCore/json.h"

namespace kcm::dispatch {

/// Capacity of a worker or demand of a task.
struct Resources {
  /// Thousandths of a processor core.
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator==(const Resources&) const -> bool = default;

  auto operator+=(const Resources& other) -> Resources& {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  auto operator-=(const Resources& other) -> Resources& {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
};

/// Leaves out what is zero; see StepSpec.
inline auto to_json(core::Json& document, const Resources& resources) -> void {
  document = core::Json::object();
  const auto add = [&](const char* name, std::int64_t amount) {
    if (amount != 0) {
      document[name] = amount;
    }
  };
  add("millicores", resources.millicores);
  add("memory_mb", resources.memory_mb);
  add("accelerators", resources.accelerators);
}

inline auto from_json(const core::Json& document, Resources& resources)
    -> void {
  resources = {document.value("millicores", std::int64_t{0}),
               document.value("memory_mb", std::int64_t{0}),
               document.value("accelerators", std::int64_t{0})};
}

/// @return how many tasks with this demand fit into `free` together.
[[nodiscard]] constexpr auto CopiesThatFit(const Resources& free,
                                           const Resources& demand)
    -> std::int64_t {
  auto copies = std::numeric_limits<std::int64_t>::max();
  const auto bound = [&copies](std::int64_t available, std::int64_t wanted) {
    if (wanted > 0) {
      copies = std::min(copies, available / wanted);
    }
  };
  bound(free.millicores, demand.millicores);
  bound(free.memory_mb, demand.memory_mb);
  bound(free.accelerators, demand.accelerators);
  return std::max<std::int64_t>(copies, 0);
}

/// @return the cores that a demand counts for in lost work.
[[nodiscard]] constexpr auto CoresOf(const Resources& demand) -> double {
  constexpr double kMillicoresPerCore = 1000;
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(demand.millicores) / kMillicoresPerCore +
         kCoresPerAccelerator * static_cast<double>(demand.accelerators);
}

/// @return whether one task with this demand fits into `free`.
[[nodiscard]] constexpr auto Fits(const Resources& free,
                                  const Resources& demand) -> bool {
  return CopiesThatFit(free, demand) > 0;
}

}  // namespace kcm::dispatch
