#pragma once

#include <string>

#include "LibNode/node.h"
#include "api_call.h"
#include "empty_fleet.h"
#include "wait_explainer.h"

namespace kcm::gateway {

/// Calls of client accounts on their jobs; operators may list, show and cancel
/// the jobs of all accounts.
class JobApi {
 public:
  explicit JobApi(node::Node& node) : node_(node), explainer_(node) {}

  auto Submit(const ApiCall& call) -> void;
  /// Lists the jobs that the caller may see.
  auto List(const ApiCall& call) -> void;
  auto Show(const ApiCall& call) -> void;
  auto Cancel(const ApiCall& call) -> void;

 private:
  /// Finds a job that the caller may see.
  /// @return the job, or null after a not-found answer was sent.
  auto FindVisible(const ApiCall& call) -> const state::Job*;
  auto OnSubmitted(const ApiCall& call,
                   const state::JobSpec& spec,
                   const std::string& id,
                   const state::ApplyResult& result) -> void;

  node::Node& node_;
  WaitExplainer explainer_;
  EmptyFleet empty_fleet_;
};

}  // namespace kcm::gateway
