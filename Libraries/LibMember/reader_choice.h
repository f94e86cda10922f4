#pragma once

#include <string>
#include <vector>

namespace kcm::member {

/// What a relay says of itself.
struct RelayView {
  std::string name;
  /// Whether it holds the whole state of its region.
  bool ready = false;
  /// Whether the log answered it last time.
  bool reachable = true;
};

/// Chooses the relay that reads the log for its region: the first by name of
/// those that are ready and reach the log; a ready one comes before one that
/// only reaches the log.
/// @param alive the live relays of the region, at least one.
[[nodiscard]] auto ChooseReader(const std::vector<RelayView>& alive)
    -> std::string;

}  // namespace kcm::member
