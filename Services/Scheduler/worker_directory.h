#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibNode/node.h"

namespace kcm::scheduler {

/// Addresses of the live workers, from the platform's lagging list.
class WorkerDirectory {
 public:
  explicit WorkerDirectory(node::Node& node);

  /// @return the worker's address, or nothing for an unknown worker.
  [[nodiscard]] auto AddressOf(const std::string& worker) const
      -> std::optional<core::Address>;

  /// @return whether the list has the worker and it is not leaving.
  [[nodiscard]] auto IsUsable(const std::string& worker) const -> bool;

 private:
  auto Poll() -> void;

  node::Node& node_;
  std::map<std::string, core::Address> addresses_;
  std::set<std::string> usable_;
};

}  // namespace kcm::scheduler
