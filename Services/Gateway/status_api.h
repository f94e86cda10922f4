#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// Operator call for the status of all processes of the installation.
class StatusApi {
 public:
  explicit StatusApi(node::Node& node);

  /// Queries all processes and answers with the statuses received in time.
  auto ShowProcesses(const ApiCall& call) -> void;

 private:
  /// Answers by process name.
  using Answers = std::map<std::string, core::Json>;

  auto HandleAnswer(const net::BusMessage& message) -> void;
  auto FinishQuery(std::int64_t query, const ApiCall& call) -> void;
  [[nodiscard]] auto ProcessNames() const -> std::vector<std::string>;

  node::Node& node_;
  std::int64_t last_query_ = 0;
  /// Answers received so far, by query number.
  std::map<std::int64_t, Answers> pending_;
};

}  // namespace kcm::gateway
