#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kcm::request {

/// Divides the units of a resource, such as a minion's slots, among gateways.
///
/// Unit `i` belongs to the gateway at position (i + hash of the resource) in
/// the sorted list, modulo its size. The shares of a resource thus add up to
/// its units, and different resources favour different gateways.
/// @return number of units that `gateway` owns.
[[nodiscard]] auto OwnedUnits(const std::string& resource,
                              std::int64_t units,
                              const std::string& gateway,
                              const std::vector<std::string>& gateways)
    -> std::int64_t;

}  // namespace kcm::request
