#pragma once

#include <functional>
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
  using JobHandler = std::function<void(const state::Job&)>;

  /// @return the job of the call if the caller may see it, or null.
  [[nodiscard]] auto FindVisible(const ApiCall& call) const
      -> const state::Job*;
  /// Passes on the job of the call, waiting for its record, which another
  /// gateway may have appended a moment ago; answers with not-found if it does
  /// not arrive.
  /// @param deadline on the monotonic clock.
  auto WhenVisible(const ApiCall& call,
                   core::Millis deadline,
                   const JobHandler& handler) -> void;
  auto ShowJob(const ApiCall& call, const state::Job& job) -> void;
  auto CancelJob(const ApiCall& call, const state::Job& job) -> void;
  auto OnSubmitted(const ApiCall& call,
                   const state::JobSpec& spec,
                   const std::string& id,
                   const state::ApplyResult& result) -> void;

  node::Node& node_;
  WaitExplainer explainer_;
  EmptyFleet empty_fleet_;
};

}  // namespace kcm::gateway
