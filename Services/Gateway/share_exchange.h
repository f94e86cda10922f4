#pragma once

#include "LibNode/node.h"
#include "LibRequest/share_ledger.h"

namespace kcm::gateway {

/// Sends and receives the messages of this gateway's share ledger on the bus.
class ShareExchange {
 public:
  explicit ShareExchange(node::Node& node);

  [[nodiscard]] auto ledger() -> request::ShareLedger& { return ledger_; }

 private:
  auto SendAll(const std::vector<request::OutgoingLedgerMessage>& outgoing)
      -> void;

  node::Node& node_;
  request::ShareLedger ledger_;
};

}  // namespace kcm::gateway
