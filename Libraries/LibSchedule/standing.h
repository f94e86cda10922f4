#pragma once

#include <cstdint>

namespace kcm::schedule {

/// By what right a gang occupies its room.
enum class Standing : std::uint8_t {
  /// Sits inside a unit of its account's own guarantee.
  kGuaranteed,
  /// Cannot be preempted and sits on capacity owed to nobody.
  kFirm,
  /// Preemptible; may sit on capacity owed to another account.
  kBorrowed,
};

}  // namespace kcm::schedule
