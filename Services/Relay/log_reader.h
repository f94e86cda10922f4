#pragma once

#include <string>

#include "LibNode/node.h"

namespace kcm::relay {

/// Reads the streams from the platform while this relay is its region's
/// reader.
class LogReader {
 public:
  explicit LogReader(node::Node& node);

  /// Starts or stops reading.
  auto SetActive(bool active) -> void;

  [[nodiscard]] auto active() const -> bool { return active_; }
  /// @return whether the last read of any stream was answered.
  [[nodiscard]] auto reachable() const -> bool { return reachable_; }

 private:
  auto Read(const std::string& stream, std::int64_t generation) -> void;
  auto OnRead(const std::string& stream,
              std::int64_t generation,
              const platform::ReadResult& result) -> void;
  auto SetReachable(bool reachable) -> void;

  node::Node& node_;
  bool active_ = false;
  bool reachable_ = true;
  /// Reads that were started before the last SetActive(true) are ignored.
  std::int64_t generation_ = 0;
};

}  // namespace kcm::relay
