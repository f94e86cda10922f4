#pragma once

#include <functional>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibRequest/router.h"

namespace kcm::gateway {

/// Keeps the router's view of the minions up to date: from the platform's
/// list, from the minions' own answers and from what other gateways saw.
class MinionWatch {
 public:
  MinionWatch(node::Node& node, request::Router& router);

  /// @return where the minion listens.
  [[nodiscard]] auto AddressOf(const std::string& minion) const
      -> const core::Address&;

  /// Notes that a minion said it is leaving, and tells the other gateways.
  auto OnLeaving(const std::string& minion) -> void;

 private:
  auto PollList() -> void;
  auto JudgeMinions() -> void;
  auto TellPeers(const std::string& minion, bool leaving) -> void;

  node::Node& node_;
  request::Router& router_;
  std::vector<std::string> peers_;
  std::map<std::string, core::Address> addresses_;
};

}  // namespace kcm::gateway
