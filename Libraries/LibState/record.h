#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/enum_names.h"
#include "LibCore/json.h"

namespace kcm::state {

/// Kind of a record of the log. Records of a kind that this version does not
/// support are kept and skipped.
enum class RecordKind : std::uint8_t {
  kUnknown,
  kFleetRecorded,
  kRowEdited,
  kTermClaimed,
  kJobSubmitted,
  kJobPlaced,
  kJobRequeued,
  kJobEnded,
  kJobCancelled,
  kIntentRecorded,
  kIntentResolved,
  kSnapshot,
  kWorkerCordoned,
};

/// One record of a stream.
struct Record {
  /// Unique; a record appended twice takes effect once.
  std::string id;
  RecordKind kind = RecordKind::kUnknown;
  std::int64_t format = 1;
  /// The process or operator that wrote it.
  std::string by;
  /// Wall clock of the writer, for display.
  core::Millis at = 0;
  core::Json body = core::Json::object();
};

}  // namespace kcm::state

template <>
struct kcm::core::EnumNames<kcm::state::RecordKind> {
  using Enum = kcm::state::RecordKind;
  static constexpr std::array<EnumName<Enum>, 13> kRows = {{
      {Enum::kUnknown, "unknown"},
      {Enum::kFleetRecorded, "fleet_recorded"},
      {Enum::kRowEdited, "row_edited"},
      {Enum::kTermClaimed, "term_claimed"},
      {Enum::kJobSubmitted, "job_submitted"},
      {Enum::kJobPlaced, "job_placed"},
      {Enum::kJobRequeued, "job_requeued"},
      {Enum::kJobEnded, "job_ended"},
      {Enum::kJobCancelled, "job_cancelled"},
      {Enum::kIntentRecorded, "intent_recorded"},
      {Enum::kIntentResolved, "intent_resolved"},
      {Enum::kSnapshot, "snapshot"},
      {Enum::kWorkerCordoned, "worker_cordoned"},
  }};
};

namespace kcm::state {

KCM_JSON(Record, id, kind, format, by, at, body)

/// Reads a record of the log.
/// @return the record; one that this version cannot read keeps its id, is of
///     kind kUnknown and has the whole document as its body.
[[nodiscard]] auto ReadRecord(const core::Json& raw) -> Record;

/// Makes a record with a new id and the current wall clock.
[[nodiscard]] auto MakeRecord(RecordKind kind,
                              const std::string& by,
                              core::Json body) -> Record;

}  // namespace kcm::state
