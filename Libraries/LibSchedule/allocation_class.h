#pragma once

#include <cstdint>

namespace kcm::schedule {

/// Whose capacity a gang uses and whether it is preemptible.
enum class AllocationClass : std::uint8_t {
  /// Runs inside a GuaranteeUnit, the capacity reserved for one gang of its
  /// account's guarantee; is not preempted.
  kGuaranteed,
  /// Cannot be preempted, because of its job's recovery or because its account
  /// may not borrow; runs on capacity that no guarantee reserves.
  kNonPreemptible,
  /// Preemptible (a borrower): may run on any free capacity, whether or not it
  /// is guaranteed to another account.
  kBorrowed,
};

}  // namespace kcm::schedule
