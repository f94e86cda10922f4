#include "LibEntry/fleet_table.h"

#include <utility>

#include "LibCore/event.h"

namespace kcm::entry {

auto FleetTable::Apply(const std::vector<dispatch::StateRow>& rows, bool whole)
    -> bool {
  const auto previous = whole ? std::exchange(workers_, {})
                              : std::map<std::string, dispatch::WorkerInfo>{};
  auto changed = false;
  for (const auto& row : rows) {
    core::Reason reason;
    auto info = row.value.empty()
                    ? std::nullopt
                    : decoders_.decode_worker(row.key, row.value, reason);
    if (!info) {
      if (!row.value.empty()) {
        core::LogEvent(core::Event::kRecordRejected,
                       {{"key", row.key}, {"reason", reason.message}});
      }
      changed = workers_.erase(row.key) > 0 || changed;
      continue;
    }
    auto& known = workers_[row.key];
    if (known != *info) {
      known = std::move(*info);
      changed = true;
    }
  }
  return whole ? workers_ != previous : changed;
}

auto FleetTable::Workers() const -> std::vector<dispatch::WorkerInfo> {
  std::vector<dispatch::WorkerInfo> workers;
  workers.reserve(workers_.size());
  for (const auto& [id, info] : workers_) {
    workers.push_back(info);
  }
  return workers;
}

}  // namespace kcm::entry
