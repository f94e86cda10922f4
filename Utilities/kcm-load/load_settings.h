#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"

namespace kcm::load {

/// Parameters of a load run.
struct LoadSettings {
  /// Target addresses, used in turn.
  std::vector<core::Address> targets;
  std::string path = "/v1/requests";
  std::string token;
  double rate_per_s = 100;
  double seconds = 5;
  /// Deadlines are drawn uniformly from this range.
  core::Millis min_deadline_ms = 1000;
  core::Millis max_deadline_ms = 1000;
  std::size_t body_bytes = 64;
  std::uint64_t seed = 1;
};

}  // namespace kcm::load
