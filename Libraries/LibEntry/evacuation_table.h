#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibEntry/table_follower.h"

namespace kcm::entry {

/// The data centres that the operators evacuate, kept up to date with the rows
/// of their table. A data centre is evacuated while its row exists.
class EvacuationTable {
 public:
  /// @return the data centre of a row's key; nothing for another row.
  using DecodeKey =
      std::function<std::optional<std::string>(const std::string& key)>;

  explicit EvacuationTable(DecodeKey decode_key)
      : decode_key_(std::move(decode_key)) {}

  /// Applies rows in their order.
  /// @param now since the Unix epoch.
  /// @return whether a data centre was evacuated or taken back.
  [[nodiscard]] auto Apply(const RowBatch& batch, core::Millis now) -> bool;

  [[nodiscard]] auto DataCentres() const -> std::set<std::string>;

  /// @return when this process first read that the data centre is evacuated,
  ///     since the Unix epoch; by data centre.
  [[nodiscard]] auto since() const
      -> const std::map<std::string, core::Millis>& {
    return since_;
  }

 private:
  DecodeKey decode_key_;
  std::map<std::string, core::Millis> since_;
};

}  // namespace kcm::entry
