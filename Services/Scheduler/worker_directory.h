#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibCore/clock.h"
#include "LibNode/node.h"

namespace kcm::scheduler {

/// Addresses of the live workers, from the platform's lagging list, and which
/// of them answer.
class WorkerDirectory {
 public:
  explicit WorkerDirectory(node::Node& node);

  /// @return the worker's address, or nothing for an unknown worker.
  [[nodiscard]] auto AddressOf(const std::string& worker) const
      -> std::optional<core::Address>;

  /// @return whether the list has the worker, it is not leaving and it
  ///     answered the last calls.
  [[nodiscard]] auto IsUsable(const std::string& worker) const -> bool;

  /// Keeps new gangs away from a worker that refused a lease, for a while.
  auto SetAside(const std::string& worker) -> void;

  /// Notes whether a worker answered a renewal.
  auto NoteAnswer(const std::string& worker, bool answered) -> void;

 private:
  auto Poll() -> void;

  node::Node& node_;
  std::map<std::string, core::Address> addresses_;
  std::set<std::string> usable_;
  /// Monotonic time until which a worker gets no new gang.
  std::map<std::string, core::Millis> aside_until_;
};

}  // namespace kcm::scheduler
