#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kcm::core {

/// Writes bytes as base64, so that any bytes can stand in JSON.
[[nodiscard]] auto ToBase64(std::string_view bytes) -> std::string;

/// Reads base64.
/// @return the bytes, or nothing when `text` is no base64.
[[nodiscard]] auto FromBase64(std::string_view text)
    -> std::optional<std::string>;

}  // namespace kcm::core
