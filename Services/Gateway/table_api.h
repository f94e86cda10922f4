#pragma once

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// Operator calls on the table and the recorded fleet.
class TableApi {
 public:
  explicit TableApi(node::Node& node) : node_(node) {}

  auto ShowTable(const ApiCall& call) -> void;
  auto ShowRow(const ApiCall& call) -> void;
  auto EditRow(const ApiCall& call) -> void;
  auto ShowHistory(const ApiCall& call) -> void;
  auto ShowFleet(const ApiCall& call) -> void;
  auto RecordFleet(const ApiCall& call) -> void;

 private:
  /// Answers an accepted edit at once or, with "?wait=everywhere", when every
  /// live process has applied it or the wait times out.
  auto ReplyToAcceptedEdit(const ApiCall& call, core::Json document) -> void;

  node::Node& node_;
};

}  // namespace kcm::gateway
