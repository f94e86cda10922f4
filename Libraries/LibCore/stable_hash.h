#pragma once

#include <cstdint>
#include <string_view>

namespace kcm::core {

/// Hashes a text to the same number in every process and version.
[[nodiscard]] auto StableHash(std::string_view text) -> std::uint64_t;

}  // namespace kcm::core
