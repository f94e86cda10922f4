#pragma once

#include <cstdint>
#include <string>

#include "LibState/record.h"
#include "LibState/row.h"

namespace kcm::bench {

/// Writes the records of a synthetic installation.
///
/// All workers stand in one data centre, eight to a rack with eight
/// accelerators each; a job takes two workers.

/// @return a record of `workers` workers.
[[nodiscard]] auto FleetRecord(std::int64_t workers) -> state::Record;

/// @return an edit of the row of account `index` that presumes `version`.
[[nodiscard]] auto RowRecord(std::int64_t index, std::int64_t version)
    -> state::Record;

/// @return the claim of the first term.
[[nodiscard]] auto TermRecord() -> state::Record;

/// @return the submission of job `index`.
[[nodiscard]] auto SubmittedRecord(std::int64_t index) -> state::Record;

/// @return the placement of job `index` with `members` members.
[[nodiscard]] auto PlacedRecord(std::int64_t index, std::int64_t members)
    -> state::Record;

/// @return the successful end of job `index`.
[[nodiscard]] auto EndedRecord(std::int64_t index) -> state::Record;

}  // namespace kcm::bench
