#pragma once

#include <map>
#include <memory>
#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/service.h"
#include "log_buffer.h"
#include "log_reader.h"
#include "snapshot_publisher.h"

namespace kcm::relay {

/// Applies the log's records to its state and forwards them to the processes of
/// its region.
///
/// One live relay of a region reads from the platform; the others follow it.
/// Two readers at a time only cost traffic. A relay that just started is not
/// ready until it has the state from a ready relay or from the log; until then
/// its answers confirm to no follower that it is up to date.
class RelayService final : public node::Service {
 public:
  [[nodiscard]] static auto create(node::Node& node, core::Reason& reason)
      -> std::unique_ptr<node::Service>;

  explicit RelayService(node::Node& node);

  auto Drain(std::function<void()> done) -> void override;

 private:
  /// A process that follows this relay.
  struct Follower {
    core::Millis last_request_at = 0;
    std::map<std::string, std::int64_t> next;
  };

  auto OnRecord(const node::AppliedRecord& applied) -> void;
  auto UpdateRole() -> void;
  [[nodiscard]] auto ChooseReader() const -> std::string;
  auto ChooseSource(core::Millis silent_ms) -> std::string;
  auto UpdateReady() -> void;
  auto OnFollow(const net::BusMessage& message) -> void;
  auto CompareChains(const std::string& follower, const core::Json& chains)
      -> void;
  auto SendMissing(const std::string& name, Follower& follower, bool send_empty)
      -> void;
  auto PushToFollowers() -> void;

  node::Node& node_;
  node::Heartbeats heartbeats_;
  LogReader reader_;
  SnapshotPublisher publisher_;
  std::map<std::string, LogBuffer> buffers_;
  std::map<std::string, Follower> followers_;
  std::unique_ptr<node::LogFollower> follower_;
  core::Millis started_at_;
  /// Relays of other regions, followed while no relay of this one is ready and
  /// the log is unreachable.
  std::vector<std::string> remote_relays_;
  std::size_t remote_index_ = 0;
  bool ready_ = false;
  bool push_scheduled_ = false;
};

}  // namespace kcm::relay
