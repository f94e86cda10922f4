#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/worker_info.h"
#include "LibEntry/platform_decoders.h"
#include "LibEntry/table_follower.h"

namespace kcm::entry {

/// A deletion of a worker's listing.
struct ListingRemoval {
  std::string worker;
  /// The worker wrote its last heartbeat at most this long before the deletion;
  /// nothing if that is not known.
  std::optional<core::Millis> max_silence_ms;
};

/// The workers that the platform lists, kept up to date with its rows.
class FleetTable {
 public:
  /// @param decoders outlives the table.
  explicit FleetTable(const PlatformDecoders& decoders) : decoders_(decoders) {}

  /// Applies rows in their order. A row that cannot be read removes its worker
  /// and is logged.
  /// @param now on the suspend-aware clock.
  /// @return whether any worker's description has changed. Workers repeat
  ///     theirs with every heartbeat.
  [[nodiscard]] auto Apply(const RowBatch& batch, core::Millis now) -> bool;

  [[nodiscard]] auto Workers() const -> std::vector<dispatch::WorkerInfo>;

  /// @return the deletions read since the last call. A worker that is missing
  ///     from a complete table, or whose row cannot be read, is not among them.
  [[nodiscard]] auto TakeRemovals() -> std::vector<ListingRemoval> {
    return std::exchange(removals_, {});
  }

 private:
  struct Listing {
    dispatch::WorkerInfo info;
    /// The newest row was written after this time; nothing if not known.
    std::optional<core::Millis> written_after;
  };
  using Listings = std::map<std::string, Listing>;

  [[nodiscard]] static auto HaveSameWorkers(const Listings& left,
                                            const Listings& right) -> bool;
  /// @return whether the worker was listed.
  auto Remove(const dispatch::StateRow& row, core::Millis now) -> bool;

  const PlatformDecoders& decoders_;
  Listings listings_;
  std::vector<ListingRemoval> removals_;
};

}  // namespace kcm::entry
