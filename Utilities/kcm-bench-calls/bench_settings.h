#pragma once

#include <cstddef>
#include <cstdint>

#include "LibCore/clock.h"

namespace kcm::bench_calls {

/// Load of one measurement.
struct BenchSettings {
  /// Exchanges a second.
  std::int64_t rate_per_s = 500;
  core::Millis span_ms = 3000;
  /// Stand-in workers, each with its own port.
  std::size_t workers = 50;
  /// Runs that a worker lists in its answer to a poll.
  std::size_t runs_per_worker = 4;
  /// Rows of an append.
  std::size_t rows_per_append = 8;
  /// Peers named in a heartbeat.
  std::size_t peers = 38;
  std::size_t payload_bytes = 400;
  /// First of the ports on the loopback address that are used.
  std::uint16_t first_port = 23000;
};

}  // namespace kcm::bench_calls
