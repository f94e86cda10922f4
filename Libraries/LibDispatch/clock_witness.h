#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::dispatch {

/// What a worker's clock showed at a moment, at most.
///
/// Holders of the term share no clock, but all of them can read the clocks of
/// the workers, which may be slow and are never fast: a successor that reads
/// the same clock later knows how long ago the moment was, at least.
struct ClockWitness {
  std::string worker;
  std::int64_t incarnation = 0;
  core::Millis latest_ms = 0;

  auto operator==(const ClockWitness&) const -> bool = default;
};

/// Witnesses of one moment; each suffices on its own.
using ClockWitnesses = std::vector<ClockWitness>;

/// A moment has several witnesses, as some may be lost together with its
/// holder.
inline constexpr std::size_t kMaxClockWitnesses = 3;

[[nodiscard]] auto ToJson(const ClockWitnesses& witnesses) -> core::Json;

/// @return nothing if the document is not a list of witnesses.
[[nodiscard]] auto ClockWitnessesFromJson(const core::Json& document)
    -> std::optional<ClockWitnesses>;

}  // namespace kcm::dispatch
