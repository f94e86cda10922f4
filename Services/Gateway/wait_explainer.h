#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "LibState/job.h"

namespace kcm::gateway {

/// Asks the scheduler that leads a data centre why a job waits.
class WaitExplainer {
 public:
  /// Told the explanation; empty when the scheduler did not answer in time.
  using Done = std::function<void(const std::string& text)>;

  explicit WaitExplainer(node::Node& node);

  auto Ask(const state::Job& job, Done done) -> void;

 private:
  auto Settle(std::int64_t ticket, const std::string& text) -> void;

  node::Node& node_;
  std::int64_t next_ticket_ = 0;
  std::map<std::int64_t, Done> open_;
};

}  // namespace kcm::gateway
