#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::member {

/// Thresholds of the failure detector.
struct SuspicionSettings {
  core::Millis suspect_after_ms = 1000;
  /// Gap between two calls of RecordRunning() that counts as a process pause.
  core::Millis pause_after_ms = 600;
};

/// Failure detector by heartbeats; does no I/O, the caller passes the time.
///
/// A process that resumes from a pause has processed no heartbeats meanwhile.
/// That says nothing about its peers, so the pause does not count as silence.
class PeerTable {
 public:
  explicit PeerTable(SuspicionSettings settings) : settings_(settings) {}

  /// Records that this process is running; must be called periodically.
  auto RecordRunning(core::Millis now) -> void;

  /// Records a heartbeat of a peer.
  /// @return whether it was not alive before.
  auto RecordHeartbeat(const std::string& peer, core::Millis now) -> bool;

  /// Treats a peer as dead until its next heartbeat.
  auto MarkDead(const std::string& peer) -> void;

  /// @return whether the last heartbeat is at most `suspect_after_ms` old.
  [[nodiscard]] auto IsAlive(const std::string& peer, core::Millis now) const
      -> bool;

  /// @return the live peers, ordered by name.
  [[nodiscard]] auto AlivePeers(core::Millis now) const
      -> std::vector<std::string>;

 private:
  /// @return `now`, or the last RecordRunning() if a pause followed it.
  [[nodiscard]] auto EffectiveNow(core::Millis now) const -> core::Millis;

  SuspicionSettings settings_;
  std::map<std::string, core::Millis> heartbeat_at_;
  core::Millis running_at_ = 0;
};

}  // namespace kcm::member
