#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/state_row.h"

namespace kcm::platform {

/// The keyed tables in the platform's store that this system uses.
enum class Table : std::uint8_t {
  /// The state of jobs and of the term; written by the term holder only.
  kState,
  /// The operators' configuration; read only.
  kConfiguration,
  /// The workers' listings; read only.
  kFleet,
};

/// Fencing token of an append: the store refuses appends of a lower epoch and
/// accepts each sequence number of an epoch once. The epoch is the number of
/// the term, the period in which one process places the jobs.
struct WriterFence {
  /// Name that all holders of the term share; epochs are compared within it.
  std::string writer;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

/// Outcome of one append to kState, as far as the writer can tell.
enum class StoreAppendOutcome : std::uint8_t {
  kAppended,
  /// A writer with a higher epoch has taken over.
  kFenced,
  /// The table does not end at the expected offset: another append came first.
  kOffsetMismatch,
  /// Nothing was appended: the store said so, or the request was never sent.
  kRefused,
  /// The rows may be in the store, or may still be appended.
  kUnknown,
};

/// Result of a read: consecutive records from `first_offset` on by ReadFrom(),
/// the newest row of each key in key order by ReadNewest().
struct TableReadResult {
  bool answered = false;
  /// The records asked for are past their retention; set by ReadFrom() only.
  bool expired = false;
  std::vector<dispatch::StateRow> rows;
  /// Offset of the first row; set by ReadFrom() only.
  std::int64_t first_offset = 0;
  /// One past the newest record.
  std::int64_t end_offset = 0;
  /// More keys follow the last one; set by ReadNewest() only.
  bool truncated = false;

  /// @param after last key of the page before.
  /// @return whether more keys follow, and no row of this page tells which.
  [[nodiscard]] auto IsStuckAfter(const std::string& after) const -> bool {
    return truncated && (rows.empty() || rows.back().key == after);
  }
};

/// The platform's store, as a log of keyed rows with one partition per table.
///
/// Holds the durable state of the processes of Services/Entry; those of the
/// other services use LogClient, whose records have no keys, instead.
class KeyedStore {
 public:
  using AppendDone = std::function<void(StoreAppendOutcome)>;
  using ReadDone = std::function<void(TableReadResult)>;

  virtual ~KeyedStore() = default;

  /// Appends rows in order to kState, all or none.
  /// @param expected_end required end offset of the table; nothing for any.
  virtual auto Append(const std::vector<dispatch::StateRow>& rows,
                      const WriterFence& fence,
                      std::optional<std::int64_t> expected_end,
                      core::Millis timeout,
                      AppendDone done) -> void = 0;

  /// Reads one page of the newest rows by key.
  /// @param after last key of the page before; empty for the first page.
  virtual auto ReadNewest(Table table,
                          const std::string& after,
                          core::Millis timeout,
                          ReadDone done) -> void = 0;

  /// Reads records from an offset on.
  /// @param wait time that the store may wait for the first record.
  virtual auto ReadFrom(Table table,
                        std::int64_t offset,
                        core::Millis wait,
                        core::Millis timeout,
                        ReadDone done) -> void = 0;
};

}  // namespace kcm::platform
