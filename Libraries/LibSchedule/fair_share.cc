#include "LibSchedule/fair_share.h"

#include <algorithm>

namespace kcm::schedule {

namespace {

/// Lower bound of weights; avoids division by zero.
constexpr double kMinWeight = 1e-6;

auto ShareOf(std::int64_t used, std::int64_t total) -> double {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

}  // namespace

auto FairShare::Add(const Gang& gang, std::int64_t sign) -> void {
  auto& usage = usage_[gang.account];
  const auto accelerators = sign * state::TotalAccelerators(gang.shape);
  usage.accelerators += accelerators;
  if (gang.urgent) {
    usage.urgent += accelerators;
  }
  if (gang.allocation_class != AllocationClass::kGuaranteed) {
    usage.beyond_guarantee += CapacityOf(gang.shape, sign * gang.shape.members);
  }
}

auto FairShare::DominantShare(const std::string& account,
                              double weight,
                              const Capacity& total) const -> double {
  const auto found = usage_.find(account);
  if (found == usage_.end()) {
    return 0;
  }
  const auto& used = found->second.beyond_guarantee;
  const auto share = std::max({ShareOf(used.accelerators, total.accelerators),
                               ShareOf(used.cores, total.cores),
                               ShareOf(used.memory_mb, total.memory_mb)});
  return share / std::max(weight, kMinWeight);
}

auto FairShare::accelerators(const std::string& account) const -> std::int64_t {
  const auto found = usage_.find(account);
  return found == usage_.end() ? 0 : found->second.accelerators;
}

auto FairShare::urgent_accelerators(const std::string& account) const
    -> std::int64_t {
  const auto found = usage_.find(account);
  return found == usage_.end() ? 0 : found->second.urgent;
}

}  // namespace kcm::schedule
