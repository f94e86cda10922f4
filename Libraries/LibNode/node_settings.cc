#include "LibNode/node_settings.h"

#include <toml++/toml.h>

#include <array>
#include <map>
#include <utility>

#include "LibRequest/queue_order.h"
#include "LibRequest/routing_strategy.h"

namespace kcm::node {

namespace {

constexpr double kMaxNameLength = 128;
constexpr double kDigestLength = 64;

const std::array kNodeFields = {
    core::Field<NodeSettings>{"node.name", &NodeSettings::name, true, 1,
                              kMaxNameLength, "unique name of this entry VM"},
    core::Field<NodeSettings>{"node.data_centre", &NodeSettings::data_centre,
                              true, 1, kMaxNameLength,
                              "data centre that this VM stands in"},
    core::Field<NodeSettings>{"node.region", &NodeSettings::region, true, 1,
                              kMaxNameLength, "region of that data centre"},
    core::Field<NodeSettings>{"node.json_logs", &NodeSettings::json_logs, false,
                              0, 1, "one JSON object a log line"},
    core::Field<NodeSettings>{"node.drain_timeout_ms",
                              &NodeSettings::drain_timeout_ms, false, 0, 6e5,
                              "longest wait for open requests at SIGTERM"},
    core::Field<NodeSettings>{"node.trace_collector",
                              &NodeSettings::trace_collector, false, 1, 65535,
                              "collector of OTLP over HTTP"},
    core::Field<NodeSettings>{"node.trace_ratio", &NodeSettings::trace_ratio,
                              false, 0, 1,
                              "share of the traces begun here to sample"},
    core::Field<NodeSettings>{"gateway.http", &NodeSettings::gateway_http, true,
                              1, 65535, "address for callers"},
    core::Field<NodeSettings>{"gateway.bus", &NodeSettings::gateway_bus, true,
                              1, 65535, "address for our processes"},
    core::Field<NodeSettings>{"gateway.metrics", &NodeSettings::gateway_metrics,
                              true, 1, 65535, "address for metrics"},
    core::Field<NodeSettings>{
        "gateway.operator_token_sha256", &NodeSettings::operator_token_sha256,
        true, kDigestLength, kDigestLength, "digest of the operators' token"},
    core::Field<NodeSettings>{"gateway.slots_per_minion",
                              &NodeSettings::slots_per_minion, false, 1, 1024,
                              "requests that a minion runs at once"},
    core::Field<NodeSettings>{"gateway.connections_per_minion",
                              &NodeSettings::connections_per_minion, false, 1,
                              65535, "connections that a minion accepts"},
    core::Field<NodeSettings>{
        "gateway.memory_mb", &NodeSettings::gateway_memory_mb, false, 0, 1e9,
        "memory that the gateway may use, a quarter of it for requests and "
        "answers; 0 for 512"},
    core::Field<NodeSettings>{
        "gateway.max_descriptors", &NodeSettings::gateway_max_descriptors,
        false, 0, 1e9,
        "descriptors that the gateway may use, a quarter of them for callers; "
        "0 for the limit of the process"},
    core::Field<NodeSettings>{"gateway.max_header_bytes",
                              &NodeSettings::max_header_bytes, false, 1024, 1e6,
                              "longest head of a call"},
    core::Field<NodeSettings>{"gateway.max_body_bytes",
                              &NodeSettings::max_body_bytes, false, 1024, 1e8,
                              "longest body of a call"},
    core::Field<NodeSettings>{"gateway.header_timeout_ms",
                              &NodeSettings::header_timeout_ms, false, 100, 6e5,
                              "longest time in which a head arrives"},
    core::Field<NodeSettings>{
        "gateway.idle_timeout_ms", &NodeSettings::idle_timeout_ms, false, 100,
        6e5,
        "longest wait for the next call or for more of a body, or until "
        "a caller reads more of an answer"},
    core::Field<NodeSettings>{"gateway.link_bytes_per_s",
                              &NodeSettings::link_bytes_per_s, false, 0, 1e12,
                              "bytes a second of requests between regions"},
    core::Field<NodeSettings>{"gateway.routing", &NodeSettings::routing, false,
                              1, kMaxNameLength,
                              "least_loaded, round_robin or random_two"},
    core::Field<NodeSettings>{"gateway.queue_order", &NodeSettings::queue_order,
                              false, 1, kMaxNameLength,
                              "first_in, earliest_deadline or last_in"},
    core::Field<NodeSettings>{"scheduler.bus", &NodeSettings::scheduler_bus,
                              true, 1, 65535, "address for our processes"},
    core::Field<NodeSettings>{"scheduler.metrics",
                              &NodeSettings::scheduler_metrics, true, 1, 65535,
                              "address for metrics"},
    core::Field<NodeSettings>{"scheduler.lease_ttl_ms",
                              &NodeSettings::lease_ttl_ms, false, 2000, 6e4,
                              "span that a worker's lease lasts unrenewed"},
    core::Field<NodeSettings>{"scheduler.reclaim_bound_ms",
                              &NodeSettings::reclaim_bound_ms, false, 5000, 6e5,
                              "bound on the reclaim of a guaranteed shape"},
    core::Field<NodeSettings>{"scheduler.fragmentation_weight",
                              &NodeSettings::fragmentation_weight, false, 0, 1,
                              "0 weighs completion time, 1 fragmentation"},
    core::Field<NodeSettings>{"relay.bus", &NodeSettings::relay_bus, true, 1,
                              65535, "address for our processes"},
    core::Field<NodeSettings>{"relay.metrics", &NodeSettings::relay_metrics,
                              true, 1, 65535, "address for metrics"},
    core::Field<NodeSettings>{"relay.snapshot_records",
                              &NodeSettings::snapshot_records, false, 1, 1e9,
                              "records of a stream between snapshots"},
    core::Field<NodeSettings>{
        "relay.snapshot_interval_ms", &NodeSettings::snapshot_interval_ms,
        false, 100, 1e10, "longest span between snapshots of a stream"},
    core::Field<NodeSettings>{"platform.log", &NodeSettings::platform_log, true,
                              1, 65535, "address of the log service"},
    core::Field<NodeSettings>{"platform.vms", &NodeSettings::platform_vms, true,
                              1, 65535, "address of the VM list"},
};

const std::array kPeerFields = {
    core::Field<PeerSettings>{"name", &PeerSettings::name, true, 1,
                              kMaxNameLength, "name of the entry VM"},
    core::Field<PeerSettings>{"data_centre", &PeerSettings::data_centre, true,
                              1, kMaxNameLength, "its data centre"},
    core::Field<PeerSettings>{"region", &PeerSettings::region, true, 1,
                              kMaxNameLength, "its region"},
    core::Field<PeerSettings>{"gateway_bus", &PeerSettings::gateway_bus, true,
                              1, 65535, "its gateway"},
    core::Field<PeerSettings>{"scheduler_bus", &PeerSettings::scheduler_bus,
                              true, 1, 65535, "its scheduler"},
    core::Field<PeerSettings>{"relay_bus", &PeerSettings::relay_bus, true, 1,
                              65535, "its relay"},
};

const std::array kDataCentreFields = {
    core::Field<DataCentreSettings>{"name", &DataCentreSettings::name, true, 1,
                                    kMaxNameLength, "name of the data centre"},
    core::Field<DataCentreSettings>{"region", &DataCentreSettings::region, true,
                                    1, kMaxNameLength, "its region"},
};

auto ToJson(const toml::node& node) -> core::Json {
  if (const auto text = node.value_exact<std::string>()) {
    return *text;
  }
  if (const auto number = node.value_exact<std::int64_t>()) {
    return *number;
  }
  if (const auto number = node.value_exact<double>()) {
    return *number;
  }
  if (const auto boolean = node.value_exact<bool>()) {
    return *boolean;
  }
  return nullptr;
}

/// A settings file flattened to "section.key" with the line of each key.
struct FlatDocument {
  core::Json document = core::Json::object();
  std::map<std::string, unsigned> lines;
};

auto Flatten(const toml::table& table, const std::string& prefix)
    -> FlatDocument {
  FlatDocument flat;
  for (const auto& [key, node] : table) {
    const auto name = prefix + std::string(key.str());
    if (node.is_array_of_tables()) {
      continue;
    }
    if (const auto* section = node.as_table()) {
      const auto inner = Flatten(*section, name + ".");
      flat.document.update(inner.document);
      flat.lines.insert(inner.lines.begin(), inner.lines.end());
      continue;
    }
    flat.document[name] = ToJson(node);
    flat.lines[name] = node.source().begin.line;
  }
  return flat;
}

auto PrependLocation(const std::string& path,
                     const FlatDocument& flat,
                     unsigned fallback_line,
                     core::Reason& reason) -> void {
  const auto found = flat.lines.find(reason.field);
  const auto line = found == flat.lines.end() ? fallback_line : found->second;
  reason.message = path + ":" + std::to_string(line) + ": " + reason.message;
}

template <typename T>
auto ReadList(const toml::table& file,
              const std::string& path,
              std::string_view name,
              std::span<const core::Field<T>> fields,
              core::Reason& reason) -> std::optional<std::vector<T>> {
  std::vector<T> list;
  const auto* tables = file[name].as_array();
  if (tables == nullptr) {
    return list;
  }
  for (const auto& node : *tables) {
    const auto* table = node.as_table();
    if (table == nullptr) {
      return reason.Fail(
          core::ErrorKind::kBadInput, std::string(name),
          path + ": " + std::string(name) + " is no list of tables.");
    }
    const auto flat = Flatten(*table, "");
    auto entry = core::ReadFields<T>(fields, flat.document, {}, reason);
    if (!entry) {
      PrependLocation(path, flat, table->source().begin.line, reason);
      return std::nullopt;
    }
    list.push_back(std::move(*entry));
  }
  return list;
}

/// A reclaim may have to wait until a lease expires that is no longer renewed.
auto CheckReclaimBound(const std::string& path,
                       const NodeSettings& settings,
                       core::Reason& reason) -> bool {
  constexpr std::int64_t kMinReclaimAfterLeaseMs = 3000;
  const auto minimum = settings.lease_ttl_ms + kMinReclaimAfterLeaseMs;
  if (settings.reclaim_bound_ms >= minimum) {
    return true;
  }
  reason = {core::ErrorKind::kBadInput, "scheduler.reclaim_bound_ms",
            path + ": scheduler.reclaim_bound_ms is " +
                std::to_string(settings.reclaim_bound_ms) +
                "; allowed is at least scheduler.lease_ttl_ms plus " +
                std::to_string(kMinReclaimAfterLeaseMs) + ", which is " +
                std::to_string(minimum) + "."};
  return false;
}

auto CheckDataCentre(const std::string& path,
                     const NodeSettings& settings,
                     core::Reason& reason) -> bool {
  for (const auto& data_centre : settings.data_centres) {
    if (data_centre.name == settings.data_centre &&
        data_centre.region == settings.region) {
      return true;
    }
  }
  reason = {core::ErrorKind::kBadInput, "node.data_centre",
            path + ": node.data_centre \"" + settings.data_centre +
                "\" in region \"" + settings.region +
                "\" is none of the [[data_centre]] tables."};
  return false;
}

/// Checks a setting whose value is one of a table of names.
template <core::NamedEnum Enum>
auto CheckEnumName(const std::string& path,
                   const FlatDocument& flat,
                   const std::string& key,
                   const std::string& name,
                   core::Reason& reason) -> bool {
  if (core::ValueOf<Enum>(name)) {
    return true;
  }
  reason = {core::ErrorKind::kBadInput, key,
            key + " is \"" + name + "\"; allowed is " +
                core::AllNamesOf<Enum>() + "."};
  PrependLocation(path, flat, 1, reason);
  return false;
}

}  // namespace

auto NodeFields() -> std::span<const core::Field<NodeSettings>> {
  return kNodeFields;
}

auto PeerFields() -> std::span<const core::Field<PeerSettings>> {
  return kPeerFields;
}

auto DataCentreFields() -> std::span<const core::Field<DataCentreSettings>> {
  return kDataCentreFields;
}

auto LoadNodeSettings(const std::string& path, core::Reason& reason)
    -> std::optional<NodeSettings> {
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    return reason.Fail(core::ErrorKind::kBadInput, "",
                       path + ":" + std::to_string(error.source().begin.line) +
                           ": " + std::string(error.description()));
  }
  const auto flat = Flatten(file, "");
  auto settings =
      core::ReadFields<NodeSettings>(kNodeFields, flat.document, {}, reason);
  if (!settings) {
    PrependLocation(path, flat, 1, reason);
    return std::nullopt;
  }
  auto peers = ReadList<PeerSettings>(file, path, "peer", kPeerFields, reason);
  if (!peers) {
    return std::nullopt;
  }
  auto data_centres = ReadList<DataCentreSettings>(file, path, "data_centre",
                                                   kDataCentreFields, reason);
  if (!data_centres) {
    return std::nullopt;
  }
  settings->peers = std::move(*peers);
  settings->data_centres = std::move(*data_centres);
  if (!CheckEnumName<request::RoutingStrategy>(path, flat, "gateway.routing",
                                               settings->routing, reason) ||
      !CheckEnumName<request::QueueOrder>(path, flat, "gateway.queue_order",
                                          settings->queue_order, reason) ||
      !CheckDataCentre(path, *settings, reason) ||
      !CheckReclaimBound(path, *settings, reason)) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace kcm::node
