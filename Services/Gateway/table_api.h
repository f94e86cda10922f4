#pragma once

#include "LibNode/node.h"
#include "api_call.h"

namespace kcm::gateway {

/// Operator calls on the table, the client accounts' rows (limits, guarantees,
/// token), and on the recorded fleet, the list of workers.
class TableApi {
 public:
  explicit TableApi(node::Node& node) : node_(node) {}

  /// Shows all rows.
  auto ShowTable(const ApiCall& call) -> void;
  /// Shows the row of one account.
  auto ShowRow(const ApiCall& call) -> void;
  /// Replaces or adds the row of one account.
  auto EditRow(const ApiCall& call) -> void;
  /// Shows the past edits of rows.
  auto ShowHistory(const ApiCall& call) -> void;
  auto ShowFleet(const ApiCall& call) -> void;
  /// Replaces the whole recorded fleet.
  auto RecordFleet(const ApiCall& call) -> void;

 private:
  /// Answers an accepted edit at once or, with "?wait=everywhere", when every
  /// live process has applied it or the wait times out.
  auto ReplyToAcceptedEdit(const ApiCall& call, core::Json document) -> void;

  node::Node& node_;
};

}  // namespace kcm::gateway
