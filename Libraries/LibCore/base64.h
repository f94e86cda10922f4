#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kcm::core {

/// Encodes bytes as base64, for binary data in JSON.
[[nodiscard]] auto ToBase64(std::string_view bytes) -> std::string;

/// Decodes base64.
/// @return the bytes, or nothing when `text` is not valid base64.
[[nodiscard]] auto FromBase64(std::string_view text)
    -> std::optional<std::string>;

}  // namespace kcm::core
