#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kcm::schedule {

/// Items ordered by how many members each has room for.
class RoomIndex {
 public:
  explicit RoomIndex(std::size_t size) : rooms_(size, 0) {}

  /// Changes the room of one item in logarithmic time.
  auto Set(std::uint32_t item, std::int64_t room) -> void {
    auto& present = rooms_[item];
    if (present == room) {
      return;
    }
    if (present > 0) {
      ordered_.erase({present, item});
    }
    present = room;
    if (room > 0) {
      ordered_.insert({room, item});
    }
  }

  [[nodiscard]] auto room(std::uint32_t item) const -> std::int64_t {
    return rooms_[item];
  }
  /// @return items with room by ascending room.
  [[nodiscard]] auto ordered() const
      -> const std::set<std::pair<std::int64_t, std::uint32_t>>& {
    return ordered_;
  }

 private:
  std::vector<std::int64_t> rooms_;
  std::set<std::pair<std::int64_t, std::uint32_t>> ordered_;
};

}  // namespace kcm::schedule
