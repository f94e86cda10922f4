#include "LibState/stream_recovery.h"

#include "LibCore/identity.h"
#include "LibCore/json_decode.h"

namespace kcm::state {

auto StreamRecovery::Add(const core::Json& raw)
    -> std::optional<RecoveryPoint> {
  records_.push_back(raw);
  const auto record = ReadRecord(raw);
  if (record.kind != RecordKind::kSnapshot) {
    return std::nullopt;
  }
  SnapshotChunk chunk;
  try {
    chunk = record.body.get<SnapshotChunk>();
  } catch (const core::Json::exception&) {
    return std::nullopt;
  }
  if (chunk.covers < first_offset_ || chunk.covers > next_offset()) {
    return std::nullopt;
  }
  // A record appended twice repeats the same part.
  parts_[chunk.snapshot][chunk.part] = chunk;
  auto snapshot = Assemble(chunk);
  if (!snapshot) {
    return std::nullopt;
  }
  RecoveryPoint point{std::move(*snapshot), chunk.covers, {}};
  point.records.assign(records_.begin() + (chunk.covers - first_offset_),
                       records_.end());
  return point;
}

auto StreamRecovery::Assemble(const SnapshotChunk& last) const
    -> std::optional<core::Json> {
  const auto& parts = parts_.at(last.snapshot);
  if (static_cast<std::int64_t>(parts.size()) != last.parts) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& [number, part] : parts) {
    text += part.text;
  }
  if (core::Sha256Hex(text) != last.sha256) {
    return std::nullopt;
  }
  auto snapshot = core::ParseJson(text, core::kOwnDocument);
  if (!snapshot.is_object() ||
      snapshot.value("next_offset", std::int64_t{-1}) != last.covers) {
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace kcm::state
