#include "LibEntry/fleet_table.h"

#include <algorithm>
#include <utility>

#include "LibCore/event.h"

namespace kcm::entry {

auto FleetTable::Apply(const RowBatch& batch, core::Millis now) -> bool {
  const auto previous = batch.whole ? std::exchange(listings_, {}) : Listings{};
  auto changed = false;
  for (const auto& row : batch.rows) {
    core::Reason reason;
    auto info = row.value.empty()
                    ? std::nullopt
                    : decoders_.decode_worker(row.key, row.value, reason);
    if (!info) {
      if (!row.value.empty()) {
        core::LogEvent(core::Event::kRecordRejected,
                       {{"key", row.key}, {"reason", reason.message}});
      }
      changed = Remove(row, now) || changed;
      continue;
    }
    auto& listing = listings_[row.key];
    listing.written_after = batch.written_after;
    if (listing.info != *info) {
      listing.info = std::move(*info);
      changed = true;
    }
  }
  return batch.whole ? !HaveSameWorkers(listings_, previous) : changed;
}

auto FleetTable::Remove(const dispatch::StateRow& row, core::Millis now)
    -> bool {
  const auto listing = listings_.extract(row.key);
  if (listing.empty()) {
    return false;
  }
  const auto is_deletion = row.value.empty();
  if (is_deletion) {
    const auto written_after = listing.mapped().written_after;
    removals_.push_back({row.key, written_after
                                      ? std::optional(now - *written_after)
                                      : std::nullopt});
  }
  return true;
}

auto FleetTable::HaveSameWorkers(const Listings& left, const Listings& right)
    -> bool {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const auto& one, const auto& other) {
                      return one.second.info == other.second.info;
                    });
}

auto FleetTable::Workers() const -> std::vector<dispatch::WorkerInfo> {
  std::vector<dispatch::WorkerInfo> workers;
  workers.reserve(listings_.size());
  for (const auto& [id, listing] : listings_) {
    workers.push_back(listing.info);
  }
  return workers;
}

}  // namespace kcm::entry
