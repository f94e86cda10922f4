#include "LibNet/refusal_log.h"

#include <utility>

namespace kcm::net {

auto RefusalLog::Record(RefusalKind kind, std::string peer) -> void {
  auto& count = counts_[static_cast<std::size_t>(kind)];
  ++count.total;
  ++count.unwritten;
  count.peer = std::move(peer);
}

auto RefusalLog::TakeDue(core::Millis now) -> std::vector<Line> {
  std::vector<Line> lines;
  for (const auto& row : core::EnumNames<RefusalKind>::kRows) {
    auto& count = counts_[static_cast<std::size_t>(row.value)];
    if (count.unwritten == 0 || now < count.next_line_at) {
      continue;
    }
    lines.push_back({row.value, std::exchange(count.unwritten, 0), count.peer});
    count.next_line_at = now + core::kMillisPerSecond;
  }
  return lines;
}

}  // namespace kcm::net
