#pragma once

#include <string>
#include <string_view>

namespace kcm::core {

/// Makes an identifier that no other process makes.
/// @param prefix names what it identifies, for example "job".
/// @return prefix, a dash and 128 random bits in hexadecimal.
auto MakeId(std::string_view prefix) -> std::string;

/// Digests a text with SHA-256.
/// @return 64 hexadecimal digits.
auto Sha256Hex(std::string_view text) -> std::string;

}  // namespace kcm::core
