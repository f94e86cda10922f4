#pragma once

#include <string>
#include <vector>

namespace kcm::member {

/// State that a relay reports in its heartbeats.
struct RelayStatus {
  std::string name;
  /// Whether it has the complete state of its region.
  bool ready = false;
  /// Whether the log answered its last read.
  bool reachable = true;
};

/// Chooses the relay that reads the log for its region: ready relays first,
/// then those that reach the log, then by name.
/// @param alive the live relays of the region, at least one.
[[nodiscard]] auto ChooseReader(const std::vector<RelayStatus>& alive)
    -> std::string;

}  // namespace kcm::member
