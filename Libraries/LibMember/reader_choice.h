#pragma once

#include <string>
#include <vector>

namespace kcm::member {

/// State that a relay reports in its heartbeats. A relay forwards the records
/// of the log to the other processes of its region.
struct RelayStatus {
  std::string name;
  /// Whether it has applied every stream of the log up to its end once.
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
