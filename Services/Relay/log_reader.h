#pragma once

#include <map>
#include <set>
#include <string>

#include "LibNode/node.h"
#include "LibState/stream_recovery.h"

namespace kcm::relay {

/// Reads the streams from the platform's log while this relay is its region's
/// reader.
///
/// Reads of the stream "table", which contains the client accounts' rows that
/// operators edit, wait briefly and show whether the log is reachable; reads of
/// the other streams wait longer, which saves requests. A stream whose records
/// expired before they were read is recovered from its newest snapshot.
class LogReader {
 public:
  explicit LogReader(node::Node& node);

  /// Starts or stops reading.
  auto SetActive(bool active) -> void;

  [[nodiscard]] auto active() const -> bool { return active_; }
  /// @return whether the log answered the last read of the stream "table".
  [[nodiscard]] auto reachable() const -> bool { return reachable_; }
  /// @return whether every stream was once read to its end.
  [[nodiscard]] auto complete() const -> bool;

 private:
  auto ReadStream(const std::string& stream, std::int64_t generation) -> void;
  auto OnRead(const std::string& stream,
              std::int64_t generation,
              const platform::ReadResult& result) -> void;
  /// @return delay until the next read.
  auto ApplyRead(const std::string& stream, const platform::ReadResult& result)
      -> core::Millis;
  auto StartRecovery(const std::string& stream, std::int64_t earliest) -> void;
  auto ContinueRecovery(const std::string& stream,
                        const platform::ReadResult& result) -> void;
  /// Checks, while not reading, whether the log is reachable again.
  auto ProbeLog() -> void;
  auto SetReachable(bool reachable) -> void;

  node::Node& node_;
  bool active_ = false;
  bool reachable_ = true;
  bool probing_ = false;
  /// Incremented by SetActive(); results of older generations are ignored.
  std::int64_t generation_ = 0;
  std::set<std::string> complete_;
  /// Streams that wait for a complete snapshot.
  std::map<std::string, state::StreamRecovery> recoveries_;
};

}  // namespace kcm::relay
