#include "LibNode/log_state.h"

#include <utility>

#include "LibCore/event.h"

namespace kcm::node {

auto LogState::OnApplied(Listener listener) -> void {
  listeners_.push_back(std::move(listener));
}

auto LogState::OnSnapshot(SnapshotListener listener) -> void {
  snapshot_listeners_.push_back(std::move(listener));
}

auto LogState::ApplyRecords(const std::string& stream,
                            std::int64_t first_offset,
                            const std::vector<core::Json>& records) -> bool {
  auto* fold = cluster_state_.FindFold(stream);
  if (fold == nullptr) {
    return true;
  }
  if (first_offset > fold->next_offset()) {
    core::LogEvent(core::Event::kFollowGap, {{"stream", stream},
                                             {"expected", fold->next_offset()},
                                             {"received", first_offset}});
    return false;
  }
  auto offset = first_offset;
  for (const auto& raw : records) {
    if (offset == fold->next_offset()) {
      const auto record = state::ReadRecord(raw);
      const auto result = fold->Apply(offset, record);
      for (const auto& listener : listeners_) {
        listener({stream, offset, raw, record, result});
      }
    }
    ++offset;
  }
  return true;
}

auto LogState::ApplySnapshot(const std::string& stream,
                             const core::Json& snapshot) -> void {
  auto* fold = cluster_state_.FindFold(stream);
  if (fold == nullptr || !fold->LoadSnapshot(snapshot)) {
    return;
  }
  for (const auto& listener : snapshot_listeners_) {
    listener(stream);
  }
}

auto LogState::NextOffset(const std::string& stream) const -> std::int64_t {
  const auto* fold = cluster_state_.FindFold(stream);
  return fold == nullptr ? 0 : fold->next_offset();
}

}  // namespace kcm::node
