#pragma once

#include <cstddef>

#include "LibCore/clock.h"

namespace kcm::net {

/// What a server accepts on one connection.
struct HttpLimits {
  /// A head with its request line and line ends.
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  /// Longest time from the first byte of a head to its end; zero for no limit.
  core::Millis header_timeout_ms = 0;
  /// Longest time that a connection waits for a request, for more of a body, or
  /// for the client to read more of an answer; zero for no limit.
  core::Millis idle_timeout_ms = 0;
};

}  // namespace kcm::net
