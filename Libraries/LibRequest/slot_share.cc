#include "LibRequest/slot_share.h"

#include <algorithm>

#include "LibCore/stable_hash.h"

namespace kcm::request {

auto OwnedUnits(const std::string& resource,
                std::int64_t units,
                const std::string& gateway,
                const std::vector<std::string>& gateways) -> std::int64_t {
  const auto found = std::find(gateways.begin(), gateways.end(), gateway);
  if (found == gateways.end()) {
    return 0;
  }
  const auto count = static_cast<std::int64_t>(gateways.size());
  const auto position = found - gateways.begin();
  const auto offset = static_cast<std::int64_t>(
      core::StableHash(resource) % static_cast<std::uint64_t>(count));
  std::int64_t owned = 0;
  for (std::int64_t unit = 0; unit < units; ++unit) {
    owned += (unit + offset) % count == position ? 1 : 0;
  }
  return owned;
}

}  // namespace kcm::request
