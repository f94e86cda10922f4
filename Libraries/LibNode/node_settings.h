#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/field_table.h"
#include "LibCore/reason.h"

namespace kcm::node {

/// An entry VM, a machine that runs gateway, scheduler and relay, as listed in
/// [[peer]].
struct PeerSettings {
  std::string name;
  std::string data_centre;
  std::string region;
  core::Address gateway_bus;
  core::Address scheduler_bus;
  core::Address relay_bus;
};

/// A data centre of the installation.
struct DataCentreSettings {
  std::string name;
  std::string region;
};

/// Settings of one entry VM, shared by its gateway, scheduler and relay.
struct NodeSettings {
  std::string name;
  std::string data_centre;
  std::string region;
  bool json_logs = false;
  core::Address trace_collector;
  double trace_ratio = 0;
  core::Address gateway_http;
  core::Address gateway_bus;
  core::Address gateway_metrics;
  std::string operator_token_sha256;
  core::Address scheduler_bus;
  core::Address scheduler_metrics;
  core::Address relay_bus;
  core::Address relay_metrics;
  std::int64_t snapshot_records = 1000;
  std::int64_t snapshot_interval_ms = 600000;
  core::Address platform_log;
  core::Address platform_vms;
  std::int64_t drain_timeout_ms = 30000;
  /// Requests that a minion runs at once.
  std::int64_t slots_per_minion = 8;
  /// Connections that a minion accepts.
  std::int64_t connections_per_minion = 64;
  /// Memory and descriptors that the gateway may use; zero if unknown.
  std::int64_t gateway_memory_mb = 0;
  std::int64_t gateway_max_descriptors = 0;
  /// What the gateway accepts of a caller. A fleet of 20,000 workers is a body
  /// of some 3 MB.
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 8388608;
  std::int64_t header_timeout_ms = 10000;
  std::int64_t idle_timeout_ms = 60000;
  std::int64_t lease_ttl_ms = 5000;
  /// Longest time from the preemption of a gang until its last lease expired.
  std::int64_t reclaim_bound_ms = 10000;
  /// Goal of placement: 0 weighs completion time only, 1 fragmentation only.
  double fragmentation_weight = 0.3;
  /// Bytes per second of requests and answers between regions, over all
  /// gateways.
  std::int64_t link_bytes_per_s = 1000000;
  /// One of the names of request::RoutingStrategy.
  std::string routing = "least_loaded";
  /// One of the names of request::QueueOrder.
  std::string queue_order = "first_in";
  std::vector<PeerSettings> peers;
  std::vector<DataCentreSettings> data_centres;
};

/// The table that checks the settings; names are "section.key".
[[nodiscard]] auto NodeFields() -> std::span<const core::Field<NodeSettings>>;

/// The table that checks each [[peer]].
[[nodiscard]] auto PeerFields() -> std::span<const core::Field<PeerSettings>>;

/// The table that checks each [[data_centre]].
[[nodiscard]] auto DataCentreFields()
    -> std::span<const core::Field<DataCentreSettings>>;

/// Reads and checks a whole settings file.
/// @return the settings, or nothing with `reason` naming file, line, key,
///     value and what is allowed.
[[nodiscard]] auto LoadNodeSettings(const std::string& path,
                                    core::Reason& reason)
    -> std::optional<NodeSettings>;

}  // namespace kcm::node
