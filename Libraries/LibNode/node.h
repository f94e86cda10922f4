#pragma once

#include <memory>
#include <string>
#include <vector>

#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNode/log_state.h"
#include "LibNode/log_writer.h"
#include "LibNode/metrics.h"
#include "LibNode/node_settings.h"
#include "LibNode/offset_barrier.h"
#include "LibNode/tracer.h"
#include "LibPlatform/http_log_client.h"
#include "LibPlatform/http_vm_list.h"

namespace kcm::node {

/// The services that each entry VM, a machine that accepts and schedules work,
/// runs as one process each: the gateway serves clients, the scheduler places
/// jobs on workers, and the relay forwards the log to the other processes.
enum class Role : std::uint8_t { kGateway, kScheduler, kRelay };

/// @return "gateway", "scheduler" or "relay".
[[nodiscard]] auto NameOf(Role role) -> std::string_view;

/// @return the bus name of a service on a VM, such as "entry-1/relay".
[[nodiscard]] auto BusNameOf(const std::string& vm, Role role) -> std::string;

/// Components that one process of any role is built on: settings, event loop,
/// bus, state computed from the log, and log writer.
class Node {
 public:
  /// Opens the bus and the metrics port.
  /// @return the node, or null with `reason`.
  [[nodiscard]] static auto create(NodeSettings settings,
                                   Role role,
                                   core::Reason& reason)
      -> std::unique_ptr<Node>;

  [[nodiscard]] auto settings() const -> const NodeSettings& {
    return settings_;
  }
  [[nodiscard]] auto self() const -> const std::string& { return bus_->self(); }
  [[nodiscard]] auto loop() -> net::EventLoop& { return loop_; }
  [[nodiscard]] auto bus() -> net::Bus& { return *bus_; }
  [[nodiscard]] auto http() -> net::HttpClient& { return http_; }
  [[nodiscard]] auto log() -> LogState& { return log_; }
  [[nodiscard]] auto log_client() -> platform::LogClient& {
    return log_client_;
  }
  [[nodiscard]] auto writer() -> LogWriter& { return writer_; }
  [[nodiscard]] auto vm_list() -> platform::VmList& { return vm_list_; }
  /// @return the barrier that waits until other processes reach an offset.
  [[nodiscard]] auto offset_barrier() -> OffsetBarrier& {
    return *offset_barrier_;
  }
  [[nodiscard]] auto metrics() -> Metrics& { return *metrics_; }
  /// @return the connections of all HTTP servers of this process.
  [[nodiscard]] auto connections()
      -> const std::shared_ptr<net::ConnectionTable>& {
    return connections_;
  }
  [[nodiscard]] auto tracer() -> Tracer& { return tracer_; }

  /// @return bus names of one role on the other entry VMs.
  /// @param region only VMs of this region; empty for all regions.
  [[nodiscard]] auto PeersOf(Role role, const std::string& region) const
      -> std::vector<std::string>;

  /// @return data centres of a region; of all regions when it is empty.
  [[nodiscard]] auto DataCentresOf(const std::string& region) const
      -> std::vector<std::string>;

 private:
  Node(NodeSettings settings, Role role);

  NodeSettings settings_;
  net::EventLoop loop_;
  net::HttpClient http_;
  std::unique_ptr<net::Bus> bus_;
  std::shared_ptr<net::ConnectionTable> connections_;
  std::unique_ptr<Metrics> metrics_;
  LogState log_;
  platform::HttpLogClient log_client_;
  platform::HttpVmList vm_list_;
  LogWriter writer_;
  Tracer tracer_;
  std::unique_ptr<OffsetBarrier> offset_barrier_;
};

}  // namespace kcm::node
