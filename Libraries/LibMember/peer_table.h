#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// Spans that decide when a silent peer counts as dead.
struct SuspicionSettings {
  core::Millis suspect_after = 1000;
};

/// Which peers were heard lately; pure state, the caller brings the clock.
class PeerTable {
 public:
  explicit PeerTable(SuspicionSettings settings) : settings_(settings) {}

  /// Notes that a peer was heard.
  /// @return whether it was not alive before.
  auto Heard(const std::string& peer, core::Millis now) -> bool;

  /// Counts a peer as dead from now on, until it is heard again.
  auto Forget(const std::string& peer) -> void;

  /// @return whether the peer was heard within the suspicion span.
  [[nodiscard]] auto IsAlive(const std::string& peer, core::Millis now) const
      -> bool;

  /// @return all peers alive now, in the order of their names.
  [[nodiscard]] auto Alive(core::Millis now) const -> std::vector<std::string>;

 private:
  SuspicionSettings settings_;
  std::map<std::string, core::Millis> last_heard_;
};

}  // namespace kcm::member
