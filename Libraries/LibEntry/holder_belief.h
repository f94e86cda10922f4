#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibCore/clock.h"

namespace kcm::entry {

/// What a process believes about the holder of the term.
struct HolderBelief {
  /// Zero when no holder is known.
  std::int64_t epoch = 0;
  std::string name;
  core::Address address;
  /// When the holder was last heard, here or by a peer, on the steady clock.
  core::Millis heard_at = 0;
  /// Since when the holder says that it does not reach the store.
  std::optional<core::Millis> storeless_since;
  /// The holder said that it gave the term up, or does not hold it.
  bool resigned = false;
};

}  // namespace kcm::entry
