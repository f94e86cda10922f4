#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// Spans that decide when a silent peer counts as dead.
struct SuspicionSettings {
  core::Millis suspect_after = 1000;
  /// Gap between two calls of Tick() that counts as a pause of this process.
  core::Millis pause_after = 600;
};

/// Which peers were heard lately; pure state, the caller brings the clock.
///
/// A process that wakes from a pause has heard nobody for a while. That says
/// nothing about the peers, so the span of the pause is not held against them.
class PeerTable {
 public:
  explicit PeerTable(SuspicionSettings settings) : settings_(settings) {}

  /// Notes that this process runs; to be called regularly.
  auto Tick(core::Millis now) -> void;

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
  /// @return `now`, or the last tick when this process was paused since.
  [[nodiscard]] auto RunningTime(core::Millis now) const -> core::Millis;

  SuspicionSettings settings_;
  std::map<std::string, core::Millis> last_heard_;
  core::Millis last_tick_ = 0;
};

}  // namespace kcm::member
