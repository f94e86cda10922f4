#include "share_exchange.h"

#include "LibCore/clock.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kTimerPeriod = 50;
constexpr const char* kMessageType = "share";

auto SettingsOf(const node::Node& node) -> request::LedgerSettings {
  request::LedgerSettings settings;
  settings.self = node.self();
  settings.gateways = node.PeersOf(node::Role::kGateway, "");
  settings.gateways.push_back(node.self());
  settings.incarnation = core::WallNow();
  return settings;
}

}  // namespace

ShareExchange::ShareExchange(node::Node& node)
    : node_(node), ledger_(SettingsOf(node), core::MonotonicNow()) {
  node.bus().OnMessage(kMessageType, [this](const net::BusMessage& message) {
    SendAll(ledger_.HandleMessage(message.from,
                                  message.body.get<request::LedgerMessage>(),
                                  core::MonotonicNow()));
  });
  node.loop().Every(kTimerPeriod, [this] {
    SendAll(ledger_.AdvanceTimers(core::MonotonicNow()));
  });
}

auto ShareExchange::SendAll(
    const std::vector<request::OutgoingLedgerMessage>& outgoing) -> void {
  for (const auto& addressed : outgoing) {
    node_.bus().Send(addressed.peer, kMessageType, addressed.message);
  }
}

}  // namespace kcm::gateway
