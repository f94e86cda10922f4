#include "minion_watch.h"

#include "LibCore/clock.h"
#include "LibCore/event.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kPollPeriod = 500;
constexpr core::Millis kOutlierCheckPeriod = 100;
constexpr const char* kHintType = "minion_hint";

}  // namespace

MinionWatch::MinionWatch(node::Node& node, request::Router& router)
    : node_(node),
      router_(router),
      peers_(node.PeersOf(node::Role::kGateway, "")) {
  node.bus().OnMessage(kHintType, [this](const net::BusMessage& message) {
    const auto minion = message.body.value("minion", "");
    if (message.body.value("leaving", false)) {
      router_.MarkLeaving(minion, core::MonotonicNow());
    } else {
      router_.MarkSuspected(minion, core::MonotonicNow());
    }
  });
  node.loop().Every(kPollPeriod, [this] { PollList(); });
  node.loop().After(0, [this] { PollList(); });
  node.loop().Every(kOutlierCheckPeriod, [this] { EjectOutliers(); });
}

auto MinionWatch::AddressOf(const std::string& minion) const
    -> const core::Address& {
  return addresses_.at(minion);
}

auto MinionWatch::PollList() -> void {
  node_.vm_list().List(
      "minion", [this](const std::optional<std::vector<platform::Vm>>& vms) {
        if (!vms) {
          return;
        }
        std::vector<request::MinionView> views;
        for (const auto& vm : *vms) {
          addresses_[vm.id] = vm.address;
          views.push_back({vm.id, vm.data_centre, vm.region, vm.leaving});
        }
        router_.SetMinions(views);
      });
}

auto MinionWatch::EjectOutliers() -> void {
  for (const auto& minion : router_.UpdateHealth(core::MonotonicNow())) {
    core::LogEvent(core::Event::kEndpointEjected, {{"minion", minion}});
    node_.metrics().Count("minions_ejected");
    NotifyPeers(minion, false);
  }
}

auto MinionWatch::HandleLeavingMinion(const std::string& minion) -> void {
  if (!router_.MarkLeaving(minion, core::MonotonicNow())) {
    return;
  }
  core::LogEvent(core::Event::kEndpointLeaving, {{"minion", minion}});
  NotifyPeers(minion, true);
}

auto MinionWatch::NotifyPeers(const std::string& minion, bool leaving) -> void {
  for (const auto& peer : peers_) {
    node_.bus().Send(peer, kHintType,
                     {{"minion", minion}, {"leaving", leaving}});
  }
}

}  // namespace kcm::gateway
