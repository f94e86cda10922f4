#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// The operators' view of all processes of the installation.
class StatusApi {
 public:
  explicit StatusApi(node::Node& node);

  /// Asks all processes for their status and answers with what came back.
  auto ShowProcesses(const ApiCall& call) -> void;

 private:
  /// Answers by process name.
  using Answers = std::map<std::string, core::Json>;

  auto OnAnswer(const net::BusMessage& message) -> void;
  auto Finish(std::int64_t ask, const ApiCall& call) -> void;
  [[nodiscard]] auto ProcessNames() const -> std::vector<std::string>;

  node::Node& node_;
  std::int64_t last_ask_ = 0;
  /// Answers that came in so far, by the number of the question.
  std::map<std::int64_t, Answers> open_;
};

}  // namespace kcm::gateway
