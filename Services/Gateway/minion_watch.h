#pragma once

#include <functional>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibRequest/router.h"

namespace kcm::gateway {

/// Updates the router's list of minions from the platform's VM list, from the
/// minions' answers and from messages of other gateways, which name a minion
/// that they ejected or that reported it is leaving.
class MinionWatch {
 public:
  MinionWatch(node::Node& node, request::Router& router);

  /// @return the address that the minion listens on.
  [[nodiscard]] auto AddressOf(const std::string& minion) const
      -> const core::Address&;

  /// Handles a minion's report that it is leaving, and notifies the other
  /// gateways.
  auto HandleLeavingMinion(const std::string& minion) -> void;

 private:
  auto PollList() -> void;
  auto EjectOutliers() -> void;
  auto NotifyPeers(const std::string& minion, bool leaving) -> void;

  node::Node& node_;
  request::Router& router_;
  std::vector<std::string> peers_;
  std::map<std::string, core::Address> addresses_;
};

}  // namespace kcm::gateway
