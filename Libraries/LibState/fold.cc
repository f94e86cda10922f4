#include "LibState/fold.h"

#include "LibCore/check.h"
#include "LibCore/identity.h"
#include "LibCore/json_decode.h"
#include "LibCore/stable_hash.h"

namespace kcm::state {

namespace {

/// Ids that a fold retains to detect a record appended twice.
constexpr std::size_t kRememberedIds = 16384;
/// Records of newer versions that a fold retains.
constexpr std::size_t kMaxUnknownRecords = 1024;

}  // namespace

auto Fold::Apply(std::int64_t offset, const Record& record) -> ApplyResult {
  KCM_CHECK(offset == next_offset_);
  ++next_offset_;
  auto result = ApplyOnce(record);
  chain_ = core::StableHash(std::to_string(chain_) + record.id +
                            (result.accepted ? "+" : "-"));
  return result;
}

auto Fold::ApplyOnce(const Record& record) -> ApplyResult {
  if (known_ids_.contains(record.id)) {
    return ApplyResult::Reject(core::ErrorKind::kConflict, "id",
                               "The record was appended before.");
  }
  RememberId(record.id);
  if (record.kind == RecordKind::kUnknown) {
    if (unknown_records_.size() < kMaxUnknownRecords) {
      unknown_records_.push_back(record.body);
    }
    return ApplyResult::Accept();
  }
  if (record.kind == RecordKind::kSnapshot) {
    return ApplyResult::Accept();
  }
  try {
    return ApplyToState(record);
  } catch (const core::Json::exception& error) {
    return ApplyResult::Reject(core::ErrorKind::kBadInput, "body",
                               error.what());
  }
}

auto Fold::RememberId(const std::string& id) -> void {
  known_ids_.insert(id);
  recent_ids_.push_back(id);
  if (recent_ids_.size() > kRememberedIds) {
    known_ids_.erase(recent_ids_.front());
    recent_ids_.pop_front();
  }
}

auto Fold::ToSnapshot() const -> core::Json {
  return {{"next_offset", next_offset_},
          {"chain", chain_},
          {"recent_ids", recent_ids_},
          {"unknown", unknown_records_},
          {"state", StateToJson()}};
}

auto Fold::LoadSnapshot(const core::Json& snapshot) -> bool {
  const auto offset = snapshot.at("next_offset").get<std::int64_t>();
  if (offset < next_offset_) {
    return false;
  }
  StateFromJson(snapshot.at("state"));
  next_offset_ = offset;
  chain_ = snapshot.value("chain", std::uint64_t{0});
  recent_ids_.clear();
  known_ids_.clear();
  for (const auto& id : snapshot.at("recent_ids")) {
    RememberId(id.get<std::string>());
  }
  LoadUnknownRecords(snapshot.value("unknown", std::vector<core::Json>{}));
  return true;
}

auto Fold::LoadUnknownRecords(const std::vector<core::Json>& documents)
    -> void {
  unknown_records_.clear();
  for (const auto& raw : documents) {
    const auto record = ReadRecord(raw);
    if (record.kind == RecordKind::kUnknown) {
      unknown_records_.push_back(raw);
      continue;
    }
    // An older version wrote the snapshot and could not read this record.
    try {
      (void)ApplyToState(record);
    } catch (const core::Json::exception&) {
      continue;
    }
  }
}

auto Fold::Digest() const -> std::string {
  return core::Sha256Hex(core::ToJsonText(StateToJson()));
}

}  // namespace kcm::state
