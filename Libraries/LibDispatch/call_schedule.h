#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// The times at which workers have calls due, so that only the sessions
/// concerned are asked for calls.
class CallSchedule {
 public:
  /// Replaces the time at which a worker next has calls due.
  /// @param at nothing if it has none until something happens.
  auto Set(const std::string& worker, std::optional<core::Millis> at) -> void;

  /// Makes a worker due immediately, as its session has changed.
  auto SetDueNow(const std::string& worker) -> void { Set(worker, 0); }

  /// Lets a worker wait until a batch of rows is stored as well.
  auto AwaitStore(const std::string& worker) -> void {
    awaiting_store_.insert(worker);
  }

  /// Makes the workers that wait for the store due immediately.
  auto OnStored() -> void;

  /// @return the workers that are due, which are then no longer scheduled.
  [[nodiscard]] auto TakeDue(core::Millis now) -> std::vector<std::string>;

 private:
  std::map<std::string, core::Millis> times_;
  std::set<std::pair<core::Millis, std::string>> order_;
  std::set<std::string> awaiting_store_;
};

}  // namespace kcm::dispatch
