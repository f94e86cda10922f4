#include "LibState/record.h"

#include <utility>

#include "LibCore/identity.h"

namespace kcm::state {

namespace {

/// Newest format of records that this version reads.
constexpr std::int64_t kFormat = 1;

auto UnknownRecord(const core::Json& raw) -> Record {
  Record record;
  if (raw.is_object() && raw.contains("id") && raw.at("id").is_string()) {
    record.id = raw.at("id").get<std::string>();
  }
  record.body = raw;
  return record;
}

}  // namespace

auto ReadRecord(const core::Json& raw) -> Record {
  try {
    auto record = raw.get<Record>();
    if (record.kind != RecordKind::kUnknown && record.format <= kFormat) {
      return record;
    }
  } catch (const core::Json::exception&) {
    // A malformed document is kept like one of a newer version.
  }
  return UnknownRecord(raw);
}

auto MakeRecord(RecordKind kind, const std::string& by, core::Json body)
    -> Record {
  return {core::MakeId("rec"), kind,           kFormat, by,
          core::WallNow(),     std::move(body)};
}

}  // namespace kcm::state
