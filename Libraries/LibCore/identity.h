#pragma once

#include <string>
#include <string_view>

namespace kcm::core {

/// Makes a globally unique identifier.
/// @param prefix names what it identifies, for example "job".
/// @return prefix, a dash and 128 random bits in hexadecimal.
auto MakeId(std::string_view prefix) -> std::string;

/// Computes the SHA-256 digest of a text.
/// @return 64 hexadecimal digits.
auto Sha256Hex(std::string_view text) -> std::string;

}  // namespace kcm::core
