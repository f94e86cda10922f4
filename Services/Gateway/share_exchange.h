#pragma once

#include "LibNode/node.h"
#include "LibRequest/share_ledger.h"

namespace kcm::gateway {

/// Carries the messages of this gateway's share ledger over the bus.
class ShareExchange {
 public:
  explicit ShareExchange(node::Node& node);

  [[nodiscard]] auto ledger() -> request::ShareLedger& { return ledger_; }

 private:
  auto SendAll(const std::vector<request::LedgerSend>& sends) -> void;

  node::Node& node_;
  request::ShareLedger ledger_;
};

}  // namespace kcm::gateway
