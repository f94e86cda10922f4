#include "table_api.h"

#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kEditTimeout = 10000;
/// Maximum wait until all processes have applied an accepted row.
constexpr core::Millis kInForceTimeout = 5000;

/// Removes the token's digest: neither tokens nor digests are shown.
auto ToPublicJson(const state::AccountRow& row) -> core::Json {
  core::Json document = row;
  document.erase("token_sha256");
  document["has_token"] = !row.token_sha256.empty();
  return document;
}

}  // namespace

auto TableApi::ShowTable(const ApiCall& call) -> void {
  const auto& table = node_.log().cluster_state().table();
  core::Json rows = core::Json::array();
  for (const auto& [account, row] : table.rows()) {
    rows.push_back(ToPublicJson(row));
  }
  call.reply.SendJson(net::kHttpOk,
                      {{"version", table.version()}, {"rows", rows}});
}

auto TableApi::ShowRow(const ApiCall& call) -> void {
  const auto& account = call.parameters.front();
  const auto* row = node_.log().cluster_state().table().FindRow(account);
  if (row == nullptr) {
    ReplyWithError(
        call, core::ErrorKind::kNotFound, "account",
        "The table has no row for " + core::QuoteText(account) + ".");
    return;
  }
  call.reply.SendJson(net::kHttpOk, ToPublicJson(*row));
}

auto TableApi::EditRow(const ApiCall& call) -> void {
  auto document = core::ParseJson(call.request.body);
  if (!document.is_object()) {
    ReplyWithError(call, core::ErrorKind::kBadInput, "body",
                   "The body is not a JSON object.");
    return;
  }
  const auto& account = call.parameters.front();
  document["account"] = account;
  document.erase("has_token");
  document.erase("in_force");
  core::Reason reason;
  auto row = state::ReadAccountRow(document, reason);
  if (!row) {
    call.reply.SendError(reason);
    return;
  }
  const auto* current = node_.log().cluster_state().table().FindRow(account);
  if (current != nullptr && row->token_sha256.empty()) {
    row->token_sha256 = current->token_sha256;
  }
  auto record =
      state::MakeRecord(state::RecordKind::kRowEdited, "operator", *row);
  node_.writer().Append(
      std::string(state::kTableStream), std::move(record),
      core::MonotonicNow() + kEditTimeout,
      [this, call, account](const state::ApplyResult& result) {
        const auto* applied =
            node_.log().cluster_state().table().FindRow(account);
        if (result.accepted) {
          core::LogEvent(core::Event::kRowEdited,
                         {{"account", account}, {"version", applied->version}});
          ReplyToAcceptedEdit(call, ToPublicJson(*applied));
          return;
        }
        auto body = core::ToErrorBody(result.reason);
        if (applied != nullptr) {
          body["row"] = ToPublicJson(*applied);
        }
        call.reply.SendJson(core::ErrorInfoOf(result.reason.kind).http_status,
                            body);
      },
      node::RefusalPolicy::kFailFast);
}

auto TableApi::ReplyToAcceptedEdit(const ApiCall& call, core::Json document)
    -> void {
  if (call.request.argument("wait", "") != "everywhere") {
    call.reply.SendJson(net::kHttpOk, document);
    return;
  }
  const std::string table(state::kTableStream);
  node_.offset_barrier().AwaitOffset(
      table, node_.log().NextOffset(table), kInForceTimeout,
      [call, document = std::move(document)](
          const std::vector<std::string>& missing) mutable {
        document["in_force"] = {{"everywhere", missing.empty()},
                                {"missing", missing}};
        call.reply.SendJson(net::kHttpOk, document);
      });
}

auto TableApi::ShowHistory(const ApiCall& call) -> void {
  core::Json changes = core::Json::array();
  for (const auto& change : node_.log().cluster_state().table().history()) {
    changes.push_back({{"table_version", change.table_version},
                       {"at_ms", change.at},
                       {"by", change.by},
                       {"row", ToPublicJson(change.row)}});
  }
  call.reply.SendJson(net::kHttpOk, {{"history", changes}});
}

auto TableApi::ShowFleet(const ApiCall& call) -> void {
  call.reply.SendJson(net::kHttpOk,
                      node_.log().cluster_state().table().fleet());
}

auto TableApi::RecordFleet(const ApiCall& call) -> void {
  const auto document = core::ParseJson(call.request.body);
  state::Fleet fleet;
  try {
    fleet = document.get<state::Fleet>();
  } catch (const core::Json::exception& error) {
    ReplyWithError(call, core::ErrorKind::kBadInput, "body", error.what());
    return;
  }
  node_.writer().Append(
      std::string(state::kTableStream),
      state::MakeRecord(state::RecordKind::kFleetRecorded, "operator", fleet),
      core::MonotonicNow() + kEditTimeout,
      [this, call](const state::ApplyResult& result) {
        if (!result.accepted) {
          call.reply.SendError(result.reason);
          return;
        }
        ShowFleet(call);
      },
      node::RefusalPolicy::kFailFast);
}

}  // namespace kcm::gateway
