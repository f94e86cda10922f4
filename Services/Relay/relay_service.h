#pragma once

#include <map>
#include <memory>
#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/service.h"
#include "log_buffer.h"
#include "log_reader.h"

namespace kcm::relay {

/// Folds the log and passes it on to the processes of its region.
///
/// The first live relay of a region, in the order of the names, reads from the
/// platform; the others follow it. Two readers at once cost bytes and break
/// nothing.
class RelayService final : public node::Service {
 public:
  [[nodiscard]] static auto create(node::Node& node, core::Reason& reason)
      -> std::unique_ptr<node::Service>;

  explicit RelayService(node::Node& node);

  auto Drain(std::function<void()> done) -> void override;

 private:
  /// A process that follows this relay.
  struct Follower {
    core::Millis heard_at = 0;
    std::map<std::string, std::int64_t> next;
  };

  [[nodiscard]] auto ChooseReader() const -> std::string;
  auto OnFollow(const net::BusMessage& message) -> void;
  auto SendMissing(const std::string& name, Follower& follower, bool always)
      -> void;
  auto PushAll() -> void;

  node::Node& node_;
  node::Heartbeats heartbeats_;
  LogReader reader_;
  std::map<std::string, LogBuffer> buffers_;
  std::map<std::string, Follower> followers_;
  std::unique_ptr<node::LogFollower> follower_;
  core::Millis started_at_;
  bool push_due_ = false;
};

}  // namespace kcm::relay
