#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibState/cell_fold.h"
#include "LibState/intent_fold.h"
#include "LibState/table_fold.h"

namespace kcm::state {

inline constexpr std::string_view kTableStream = "table";

/// @return the stream of a data centre's jobs and scheduler term.
[[nodiscard]] auto JobStreamOf(const std::string& data_centre) -> std::string;

/// @return the stream of a data centre's non-idempotent requests.
[[nodiscard]] auto IntentStreamOf(const std::string& data_centre)
    -> std::string;

/// The folds of all streams in one process.
class ClusterState {
 public:
  explicit ClusterState(const std::vector<std::string>& data_centres);

  [[nodiscard]] auto table() const -> const TableFold& { return *table_; }

  /// @return the fold of a data centre's jobs and scheduler term, or null.
  [[nodiscard]] auto FindCell(const std::string& data_centre) const
      -> const CellFold*;

  /// @return the intents of a data centre, or null.
  [[nodiscard]] auto FindIntents(const std::string& data_centre) const
      -> const IntentFold*;

  /// @return the fold of a stream, or null.
  [[nodiscard]] auto FindFold(const std::string& stream) const -> Fold*;

  /// @return names of all streams.
  [[nodiscard]] auto streams() const -> const std::vector<std::string>& {
    return streams_;
  }

 private:
  std::shared_ptr<TableFold> table_ = std::make_shared<TableFold>();
  std::map<std::string, std::shared_ptr<CellFold>> cells_;
  std::map<std::string, std::shared_ptr<IntentFold>> intents_;
  std::map<std::string, std::shared_ptr<Fold>> folds_;
  std::vector<std::string> streams_;
};

}  // namespace kcm::state
