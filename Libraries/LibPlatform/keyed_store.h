#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/row.h"

namespace kcm::platform {

/// The keyed tables that the platform's store keeps for us.
enum class Table : std::uint8_t {
  /// The state of jobs and of the term; only the holder writes it.
  kState,
  /// The operators' configuration; read only.
  kOperators,
  /// The workers' listings; read only.
  kFleet,
};

/// Shuts former writers out: the store refuses appends of a lower epoch and
/// takes each sequence number of an epoch once.
struct WriterFence {
  std::string writer;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

/// How an append ended, as far as the writer can know.
enum class StoreEnd : std::uint8_t {
  kAppended,
  /// A writer with a higher epoch has taken over.
  kFenced,
  /// The table does not end at the offset that was expected.
  kMoved,
  /// The store says, or the connection proves, that nothing was appended.
  kRefused,
  /// The rows may stand in the store, or may yet.
  kUnknown,
};

/// Rows with the offsets between which the table holds records.
struct TableRead {
  bool answered = false;
  /// The records asked for are past their retention.
  bool expired = false;
  std::vector<dispatch::Row> rows;
  std::int64_t first_offset = 0;
  /// One past the newest record.
  std::int64_t end_offset = 0;
  /// More keys follow the last one.
  bool truncated = false;
};

/// The platform's store, as a log of keyed rows in one partition a table.
class KeyedStore {
 public:
  using AppendDone = std::function<void(StoreEnd)>;
  using ReadDone = std::function<void(TableRead)>;

  virtual ~KeyedStore() = default;

  /// Appends rows in order to kState, all or none.
  /// @param expected_end offset at which the table has to end; nothing for any.
  virtual auto Append(const std::vector<dispatch::Row>& rows,
                      const WriterFence& fence,
                      std::optional<std::int64_t> expected_end,
                      core::Millis timeout,
                      AppendDone done) -> void = 0;

  /// Reads the newest row of each key, by page.
  /// @param after continue behind this key; empty for the first page.
  virtual auto ReadNewest(Table table,
                          const std::string& after,
                          core::Millis timeout,
                          ReadDone done) -> void = 0;

  /// Reads records from an offset on.
  /// @param wait span that the store may wait for the first record.
  virtual auto ReadFrom(Table table,
                        std::int64_t offset,
                        core::Millis wait,
                        core::Millis timeout,
                        ReadDone done) -> void = 0;
};

}  // namespace kcm::platform
