#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibState/job.h"

namespace kcm::gateway {

/// Asks the term holder of a data centre why a job waits.
class WaitExplainer {
 public:
  /// Receives the explanation; empty if the scheduler did not answer in time.
  using Done = std::function<void(const std::string& text)>;

  explicit WaitExplainer(node::Node& node);

  auto RequestExplanation(const state::Job& job, Done done) -> void;

 private:
  auto CompleteQuery(std::int64_t ticket, const std::string& text) -> void;

  node::Node& node_;
  std::int64_t next_ticket_ = 0;
  std::map<std::int64_t, Done> pending_;
};

}  // namespace kcm::gateway
