#pragma once

#include <cstdint>
#include <string>

#include "LibState/account_row.h"
#include "LibState/record.h"

namespace kcm::bench {

/// Log records of a synthetic cluster.
///
/// All workers are in one data centre, in racks of eight, with eight
/// accelerators each; a submitted job has two members.

/// @return a record of `workers` workers.
[[nodiscard]] auto FleetRecord(std::int64_t workers) -> state::Record;

/// @return an edit of the row (limits, guarantees, token) of client account
/// `index`, based on row `version`.
[[nodiscard]] auto RowRecord(std::int64_t index, std::int64_t version)
    -> state::Record;

/// @return the claim of the first term.
[[nodiscard]] auto TermRecord() -> state::Record;

/// @return the submission of job `index`.
[[nodiscard]] auto SubmittedRecord(std::int64_t index) -> state::Record;

/// @return the placement of job `index` with `members` members, each on its
/// own worker.
[[nodiscard]] auto PlacedRecord(std::int64_t index, std::int64_t members)
    -> state::Record;

/// @return the successful end of job `index`.
[[nodiscard]] auto EndedRecord(std::int64_t index) -> state::Record;

}  // namespace kcm::bench
