#include "LibNode/node.h"

#include <array>
#include <utility>

#include "LibNode/node_samples.h"
#include "LibNode/status_answer.h"

namespace kcm::node {

namespace {

/// Name and settings of one role.
struct RoleInfo {
  Role role;
  std::string_view name;
  core::Address NodeSettings::*bus;
  core::Address NodeSettings::*metrics;
  core::Address PeerSettings::*peer_bus;
};

constexpr std::array kRoles = {
    RoleInfo{Role::kGateway, "gateway", &NodeSettings::gateway_bus,
             &NodeSettings::gateway_metrics, &PeerSettings::gateway_bus},
    RoleInfo{Role::kScheduler, "scheduler", &NodeSettings::scheduler_bus,
             &NodeSettings::scheduler_metrics, &PeerSettings::scheduler_bus},
    RoleInfo{Role::kRelay, "relay", &NodeSettings::relay_bus,
             &NodeSettings::relay_metrics, &PeerSettings::relay_bus},
};

auto InfoOf(Role role) -> const RoleInfo& {
  return kRoles[static_cast<std::size_t>(role)];
}

auto NamesOf(const std::vector<DataCentreSettings>& data_centres)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(data_centres.size());
  for (const auto& data_centre : data_centres) {
    names.push_back(data_centre.name);
  }
  return names;
}

}  // namespace

auto NameOf(Role role) -> std::string_view {
  return InfoOf(role).name;
}

auto BusNameOf(const std::string& vm, Role role) -> std::string {
  return vm + "/" + std::string(NameOf(role));
}

Node::Node(NodeSettings settings, Role role)
    : settings_(std::move(settings)),
      http_(loop_),
      log_(NamesOf(settings_.data_centres)),
      log_client_(http_, settings_.platform_log),
      vm_list_(http_, settings_.platform_vms),
      writer_(loop_, log_, log_client_, BusNameOf(settings_.name, role)),
      tracer_(loop_,
              http_,
              {BusNameOf(settings_.name, role), settings_.trace_collector,
               settings_.trace_ratio}) {}

auto Node::create(NodeSettings settings, Role role, core::Reason& reason)
    -> std::unique_ptr<Node> {
  std::unique_ptr<Node> node(new Node(std::move(settings), role));
  const auto& own = node->settings_;
  node->bus_ = net::Bus::create(node->loop_, BusNameOf(own.name, role),
                                own.*InfoOf(role).bus, reason);
  if (node->bus_ == nullptr) {
    return nullptr;
  }
  const auto is_gateway = role == Role::kGateway;
  node->connections_ = std::make_shared<net::ConnectionTable>(
      net::MakeConnectionBounds(is_gateway ? own.gateway_memory_mb : 0,
                                is_gateway ? own.gateway_max_descriptors : 0));
  node->metrics_ = Metrics::create(node->loop_, own.*InfoOf(role).metrics,
                                   reason, node->connections_);
  if (node->metrics_ == nullptr) {
    return nullptr;
  }
  std::vector<std::string> others;
  for (const auto& peer : own.peers) {
    for (const auto& role_info : kRoles) {
      const auto name = BusNameOf(peer.name, role_info.role);
      if (name != node->self()) {
        node->bus_->AddPeer(name, peer.*role_info.peer_bus);
        others.push_back(name);
      }
    }
  }
  node->offset_barrier_ = std::make_unique<OffsetBarrier>(
      node->loop_, *node->bus_, node->log_, std::move(others));
  RegisterNodeSamples(*node);
  RegisterStatusHandler(*node);
  return node;
}

auto Node::PeersOf(Role role, const std::string& region) const
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& peer : settings_.peers) {
    if (peer.name != settings_.name &&
        (region.empty() || peer.region == region)) {
      names.push_back(BusNameOf(peer.name, role));
    }
  }
  return names;
}

auto Node::DataCentresOf(const std::string& region) const
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& data_centre : settings_.data_centres) {
    if (region.empty() || data_centre.region == region) {
      names.push_back(data_centre.name);
    }
  }
  return names;
}

}  // namespace kcm::node
