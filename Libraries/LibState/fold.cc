#include "LibState/fold.h"

#include "LibCore/check.h"
#include "LibCore/identity.h"

namespace kcm::state {

namespace {

/// Ids that a fold remembers to recognise a record appended twice.
constexpr std::size_t kRememberedIds = 16384;

}  // namespace

auto Fold::Apply(std::int64_t offset, const Record& record) -> Verdict {
  KCM_CHECK(offset == next_offset_);
  ++next_offset_;
  if (known_ids_.contains(record.id)) {
    return Verdict::Reject(core::ErrorKind::kConflict, "id",
                           "The record was appended before.");
  }
  Remember(record.id);
  if (record.kind == RecordKind::kUnknown ||
      record.kind == RecordKind::kSnapshot) {
    return Verdict::Accept();
  }
  try {
    return Decide(record);
  } catch (const core::Json::exception& error) {
    return Verdict::Reject(core::ErrorKind::kBadInput, "body", error.what());
  }
}

auto Fold::Remember(const std::string& id) -> void {
  known_ids_.insert(id);
  recent_ids_.push_back(id);
  if (recent_ids_.size() > kRememberedIds) {
    known_ids_.erase(recent_ids_.front());
    recent_ids_.pop_front();
  }
}

auto Fold::ToSnapshot() const -> core::Json {
  return {{"next_offset", next_offset_},
          {"recent_ids", recent_ids_},
          {"state", StateToJson()}};
}

auto Fold::LoadSnapshot(const core::Json& snapshot) -> bool {
  const auto offset = snapshot.at("next_offset").get<std::int64_t>();
  if (offset < next_offset_) {
    return false;
  }
  StateFromJson(snapshot.at("state"));
  next_offset_ = offset;
  recent_ids_.clear();
  known_ids_.clear();
  for (const auto& id : snapshot.at("recent_ids")) {
    Remember(id.get<std::string>());
  }
  return true;
}

auto Fold::Digest() const -> std::string {
  return core::Sha256Hex(StateToJson().dump());
}

}  // namespace kcm::state
