#include "LibState/table_fold.h"

#include <algorithm>
#include <utility>

#include "LibState/guarantee_check.h"

namespace kcm::state {

namespace {

constexpr std::size_t kMaxHistoryLength = 1000;

}  // namespace

auto TableFold::FindRow(const std::string& account) const -> const AccountRow* {
  const auto found = rows_.find(account);
  return found == rows_.end() ? nullptr : &found->second;
}

auto TableFold::FindRowByToken(const std::string& sha256) const
    -> const AccountRow* {
  for (const auto& [account, row] : rows_) {
    if (!row.token_sha256.empty() && row.token_sha256 == sha256) {
      return &row;
    }
  }
  return nullptr;
}

auto TableFold::ApplyToState(const Record& record) -> ApplyResult {
  switch (record.kind) {
    case RecordKind::kRowEdited:
      return ApplyRowEdit(record);
    case RecordKind::kFleetRecorded:
      return ApplyFleet(record);
    case RecordKind::kWorkerCordoned:
      return ApplyCordon(record);
    default:
      return ApplyResult::Accept();
  }
}

auto TableFold::ApplyRowEdit(const Record& record) -> ApplyResult {
  auto row = record.body.get<AccountRow>();
  const auto* present = FindRow(row.account);
  const auto version = present == nullptr ? 0 : present->version;
  if (row.version != version) {
    return ApplyResult::Reject(core::ErrorKind::kConflict, "version",
                               "The row of " + row.account + " is at version " +
                                   std::to_string(version) +
                                   ", the edit expects version " +
                                   std::to_string(row.version) + ".");
  }
  ++row.version;
  const auto before =
      present == nullptr ? std::vector<Guarantee>{} : present->guarantees;
  // The check walks the whole fleet, and a fleet that shrank must not block
  // edits that guarantee nothing more.
  if (IncreasesGuarantees(before, row.guarantees)) {
    auto edited = rows_;
    edited[row.account] = row;
    auto result = CheckGuarantees(edited, fleet_);
    if (!result.accepted) {
      return result;
    }
  }
  rows_[row.account] = row;
  ++version_;
  history_.push_back({version_, record.at, record.by, std::move(row)});
  if (history_.size() > kMaxHistoryLength) {
    history_.pop_front();
  }
  return ApplyResult::Accept();
}

auto TableFold::ApplyFleet(const Record& record) -> ApplyResult {
  auto fleet = record.body.get<Fleet>();
  if (fleet.version != fleet_.version) {
    return ApplyResult::Reject(
        core::ErrorKind::kConflict, "version",
        "The fleet is at version " + std::to_string(fleet_.version) + ".");
  }
  ++fleet.version;
  fleet_ = std::move(fleet);
  return ApplyResult::Accept();
}

auto TableFold::ApplyCordon(const Record& record) -> ApplyResult {
  auto cordon = record.body.get<Cordon>();
  const auto& workers = fleet_.workers;
  const bool known = std::any_of(
      workers.begin(), workers.end(),
      [&](const auto& worker) { return worker.id == cordon.worker; });
  if (cordon.cordoned && !known) {
    return ApplyResult::Reject(
        core::ErrorKind::kNotFound, "worker",
        "The fleet has no worker \"" + cordon.worker + "\" on record.");
  }
  cordon.at = record.at;
  if (cordon.cordoned) {
    cordons_[cordon.worker] = std::move(cordon);
  } else {
    cordons_.erase(cordon.worker);
  }
  return ApplyResult::Accept();
}

auto TableFold::StateToJson() const -> core::Json {
  return {{"rows", rows_},
          {"fleet", fleet_},
          {"cordons", cordons_},
          {"history", history_},
          {"version", version_}};
}

auto TableFold::StateFromJson(const core::Json& document) -> void {
  document.at("rows").get_to(rows_);
  document.at("fleet").get_to(fleet_);
  cordons_ = document.value("cordons", std::map<std::string, Cordon>{});
  document.at("history").get_to(history_);
  document.at("version").get_to(version_);
}

}  // namespace kcm::state
