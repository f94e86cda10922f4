#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibDispatch/state_row.h"
#include "LibDispatch/worker_info.h"
#include "LibEntry/platform_decoders.h"

namespace kcm::entry {

/// The workers that the platform lists, kept up to date with its rows.
class FleetTable {
 public:
  /// @param decoders outlives the table.
  explicit FleetTable(const PlatformDecoders& decoders) : decoders_(decoders) {}

  /// Applies rows in their order. A row that cannot be read removes its worker
  /// and is logged.
  /// @param whole the rows are the complete table.
  /// @return whether any worker's description has changed. Workers repeat
  ///     theirs with every heartbeat.
  [[nodiscard]] auto Apply(const std::vector<dispatch::StateRow>& rows,
                           bool whole) -> bool;

  [[nodiscard]] auto Workers() const -> std::vector<dispatch::WorkerInfo>;

 private:
  const PlatformDecoders& decoders_;
  std::map<std::string, dispatch::WorkerInfo> workers_;
};

}  // namespace kcm::entry
