#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kcm::request {

/// Divides the slots of a minion among the gateways of the settings.
///
/// Slot `i` belongs to the gateway at position (i + hash of the minion) in the
/// sorted list, so the shares of one minion always add up to its slots and
/// different minions favour different gateways.
/// @return how many slots of the minion `gateway` owns.
[[nodiscard]] auto OwnedSlots(const std::string& minion,
                              std::int64_t slots,
                              const std::string& gateway,
                              const std::vector<std::string>& gateways)
    -> std::int64_t;

}  // namespace kcm::request
