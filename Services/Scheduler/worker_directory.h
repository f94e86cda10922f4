#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibCore/clock.h"
#include "LibNode/node.h"

namespace kcm::scheduler {

/// Last known addresses of all workers that the platform's possibly outdated
/// list has contained, and which workers can take new gangs.
class WorkerDirectory {
 public:
  explicit WorkerDirectory(node::Node& node);

  /// @return the worker's address, or nothing for an unknown worker.
  [[nodiscard]] auto AddressOf(const std::string& worker) const
      -> std::optional<core::Address>;

  /// @return whether the worker is listed and neither leaving, cordoned nor
  ///     excluded.
  [[nodiscard]] auto IsUsable(const std::string& worker) const -> bool;

  /// Temporarily excludes a worker that refused a lease from new gangs.
  auto ExcludeTemporarily(const std::string& worker) -> void;

  /// Excludes the worker temporarily when it did not answer a renewal.
  auto RecordRenewal(const std::string& worker, bool answered) -> void;

 private:
  auto RefreshList() -> void;

  node::Node& node_;
  std::map<std::string, core::Address> addresses_;
  std::set<std::string> available_;
  /// Monotonic time until which a worker gets no new gang.
  std::map<std::string, core::Millis> excluded_until_;
};

}  // namespace kcm::scheduler
