#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "LibCore/json.h"
#include "LibNet/event_loop.h"
#include "bench_settings.h"

namespace kcm::bench_calls {

/// What this process spent on a number of exchanges.
struct Measurement {
  std::int64_t exchanges = 0;
  std::int64_t failed = 0;
  double processor_us = 0;
  std::int64_t wake_ups = 0;

  /// @return the totals and the averages per exchange.
  [[nodiscard]] auto ToJson() const -> core::Json;
};

/// Runs the loop for the span of a measurement after a warm-up.
/// @param measurement counted by the handlers on the loop; set to zero after
///     the warm-up.
auto Measure(net::EventLoop& loop,
             const BenchSettings& settings,
             Measurement& measurement) -> void;

/// Calls `send` at the rate of the settings, spread over each second.
auto SendAtRate(net::EventLoop& loop,
                const BenchSettings& settings,
                const std::function<void()>& send) -> void;

}  // namespace kcm::bench_calls
