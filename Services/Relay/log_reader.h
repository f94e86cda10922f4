#pragma once

#include <map>
#include <set>
#include <string>

#include "LibNode/node.h"
#include "LibState/stream_recovery.h"

namespace kcm::relay {

/// Reads the streams from the platform while this relay is its region's
/// reader.
///
/// The table's stream is read with short waits and tells whether the log can
/// be reached; the other streams wait longer, which spares the link. A stream
/// whose records expired before they were read is recovered from its newest
/// snapshot.
class LogReader {
 public:
  explicit LogReader(node::Node& node);

  /// Starts or stops reading.
  auto SetActive(bool active) -> void;

  [[nodiscard]] auto active() const -> bool { return active_; }
  /// @return whether the log answered the last read of the table.
  [[nodiscard]] auto reachable() const -> bool { return reachable_; }
  /// @return whether every stream was read to its end since the start.
  [[nodiscard]] auto complete() const -> bool;

 private:
  auto Read(const std::string& stream, std::int64_t generation) -> void;
  auto OnRead(const std::string& stream,
              std::int64_t generation,
              const platform::ReadResult& result) -> void;
  /// @return span until the next read.
  auto Take(const std::string& stream, const platform::ReadResult& result)
      -> core::Millis;
  auto StartRecovery(const std::string& stream, std::int64_t earliest) -> void;
  auto ContinueRecovery(const std::string& stream,
                        const platform::ReadResult& result) -> void;
  /// Learns, while not reading, when the log can be reached again.
  auto Probe() -> void;
  auto SetReachable(bool reachable) -> void;

  node::Node& node_;
  bool active_ = false;
  bool reachable_ = true;
  bool probing_ = false;
  /// Reads that were started before the last SetActive(true) are ignored.
  std::int64_t generation_ = 0;
  std::set<std::string> complete_;
  /// Streams that wait for a whole snapshot.
  std::map<std::string, state::StreamRecovery> recoveries_;
};

}  // namespace kcm::relay
