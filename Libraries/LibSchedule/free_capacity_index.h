#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kcm::schedule {

/// Items ordered by how many members fit into each.
class FreeCapacityIndex {
 public:
  explicit FreeCapacityIndex(std::size_t size) : free_members_(size, 0) {}

  /// Changes the count of one item in logarithmic time.
  auto Set(std::uint32_t item, std::int64_t free_members) -> void {
    auto& present = free_members_[item];
    if (present == free_members) {
      return;
    }
    if (present > 0) {
      ordered_.erase({present, item});
    }
    present = free_members;
    if (free_members > 0) {
      ordered_.insert({free_members, item});
    }
  }

  [[nodiscard]] auto free_members(std::uint32_t item) const -> std::int64_t {
    return free_members_[item];
  }
  /// @return items where at least one member fits, by ascending count.
  [[nodiscard]] auto ordered() const
      -> const std::set<std::pair<std::int64_t, std::uint32_t>>& {
    return ordered_;
  }

 private:
  std::vector<std::int64_t> free_members_;
  std::set<std::pair<std::int64_t, std::uint32_t>> ordered_;
};

}  // namespace kcm::schedule
