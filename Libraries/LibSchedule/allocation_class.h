#pragma once

#include <cstdint>

namespace kcm::schedule {

/// Whose capacity a gang uses and whether it is preemptible.
enum class AllocationClass : std::uint8_t {
  /// Runs inside a unit of its account's own guarantee.
  kGuaranteed,
  /// Cannot be preempted; runs on capacity that no guarantee reserves.
  kNonPreemptible,
  /// Preemptible; may run on capacity guaranteed to another account.
  kBorrowed,
};

}  // namespace kcm::schedule
