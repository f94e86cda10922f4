#pragma once

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// The operators' calls on workers and minions.
class FleetApi {
 public:
  explicit FleetApi(node::Node& node) : node_(node) {}

  /// Lists the workers on record with their cordons and members of gangs.
  auto ListWorkers(const ApiCall& call) -> void;
  /// Keeps new members of gangs off a worker; those there stay.
  auto Cordon(const ApiCall& call) -> void;
  auto Uncordon(const ApiCall& call) -> void;
  /// Lists the minions as the platform shows them now.
  auto ListMinions(const ApiCall& call) -> void;

 private:
  auto Change(const ApiCall& call, bool cordoned) -> void;

  node::Node& node_;
};

}  // namespace kcm::gateway
