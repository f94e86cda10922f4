#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibNet/refusal_kind.h"

namespace kcm::net {

/// Counts refusals by kind, and says which are due for a line of the log: one
/// line per kind and second at most, however many clients cause it.
class RefusalLog {
 public:
  struct Line {
    RefusalKind kind;
    /// Refusals since the last line of the kind.
    std::int64_t count;
    /// Address of the client that was refused last.
    std::string peer;
  };

  auto Record(RefusalKind kind, std::string peer) -> void;

  /// @param now on the monotonic clock.
  /// @return the lines that are due, which count as written.
  [[nodiscard]] auto TakeDue(core::Millis now) -> std::vector<Line>;

  /// @return refusals since the process started.
  [[nodiscard]] auto total(RefusalKind kind) const -> std::int64_t {
    return counts_[static_cast<std::size_t>(kind)].total;
  }

 private:
  struct Count {
    std::int64_t total = 0;
    std::int64_t unwritten = 0;
    core::Millis next_line_at = 0;
    std::string peer;
  };

  std::array<Count, kRefusalKinds> counts_;
};

}  // namespace kcm::net
