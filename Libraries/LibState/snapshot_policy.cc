#include "LibState/snapshot_policy.h"

namespace kcm::state {

namespace {

/// Each rank waits longer by the settings divided by this.
constexpr std::int64_t kRankDivisor = 4;

}  // namespace

auto IsSnapshotDue(const SnapshotSettings& settings, const SnapshotView& view)
    -> bool {
  const auto records_due =
      settings.records + (view.rank * settings.records / kRankDivisor);
  const auto age_due =
      settings.interval_ms + (view.rank * settings.interval_ms / kRankDivisor);
  return view.records_since >= records_due || view.age_ms >= age_due;
}

}  // namespace kcm::state
