#pragma once

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// Operator calls on workers and minions.
class FleetApi {
 public:
  explicit FleetApi(node::Node& node) : node_(node) {}

  /// Lists the recorded workers with their cordons and the jobs on them.
  auto ListWorkers(const ApiCall& call) -> void;
  /// Excludes a worker from new gangs; members on it keep running.
  auto Cordon(const ApiCall& call) -> void;
  auto Uncordon(const ApiCall& call) -> void;
  /// Lists the minions that are in the platform's VM list now.
  auto ListMinions(const ApiCall& call) -> void;

 private:
  auto SetCordon(const ApiCall& call, bool cordoned) -> void;

  node::Node& node_;
};

}  // namespace kcm::gateway
