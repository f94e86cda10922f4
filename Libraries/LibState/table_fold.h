#pragma once

#include <deque>
#include <map>
#include <string>

#include "LibState/account_row.h"
#include "LibState/cordon.h"
#include "LibState/fleet.h"
#include "LibState/fold.h"

namespace kcm::state {

/// An accepted edit, for the table's history.
struct RowChange {
  std::int64_t table_version = 0;
  core::Millis at = 0;
  std::string by;
  AccountRow row;
};

KCM_JSON(RowChange, table_version, at, by, row)

/// The operators' table, the fleet on record and the cordons.
class TableFold final : public Fold {
 public:
  /// @return rows by client account.
  [[nodiscard]] auto rows() const -> const std::map<std::string, AccountRow>& {
    return rows_;
  }
  [[nodiscard]] auto fleet() const -> const Fleet& { return fleet_; }
  /// @return latest accepted edits, oldest first.
  [[nodiscard]] auto history() const -> const std::deque<RowChange>& {
    return history_;
  }
  /// @return number of accepted row edits since the table began; fleet and
  ///     cordon records do not count.
  [[nodiscard]] auto version() const -> std::int64_t { return version_; }

  /// @return cordoned workers by id.
  [[nodiscard]] auto cordons() const -> const std::map<std::string, Cordon>& {
    return cordons_;
  }

  /// @return the row of an account, or null.
  [[nodiscard]] auto FindRow(const std::string& account) const
      -> const AccountRow*;

  /// @return the row whose token has this digest, or null.
  [[nodiscard]] auto FindRowByToken(const std::string& sha256) const
      -> const AccountRow*;

 protected:
  auto ApplyToState(const Record& record) -> ApplyResult override;
  [[nodiscard]] auto StateToJson() const -> core::Json override;
  auto StateFromJson(const core::Json& document) -> void override;

 private:
  auto ApplyRowEdit(const Record& record) -> ApplyResult;
  auto ApplyFleet(const Record& record) -> ApplyResult;
  auto ApplyCordon(const Record& record) -> ApplyResult;

  std::map<std::string, AccountRow> rows_;
  Fleet fleet_;
  std::map<std::string, Cordon> cordons_;
  std::deque<RowChange> history_;
  std::int64_t version_ = 0;
};

}  // namespace kcm::state
