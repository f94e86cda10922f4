#pragma once

#include <string>
#include <string_view>

#include "LibCore/json.h"

namespace kcm::core {

/// Most levels of nesting in a document. Ours and the platform's have fewer
/// than ten; conversions of a document recurse once a level.
inline constexpr int kMaxNesting = 64;

/// Parses JSON of any origin.
/// @return the document, or a discarded one for a malformed text or one that
///     nests too deeply.
[[nodiscard]] auto ParseJson(std::string_view text) -> Json;

/// Parses MessagePack of any origin, with the same result.
[[nodiscard]] auto ParseMessagePack(std::string_view bytes) -> Json;

/// @return whether a document has more than kMaxNesting levels.
[[nodiscard]] auto IsTooDeep(const Json& document) -> bool;

/// Encodes a document with at most kMaxNesting levels as JSON. Never throws:
/// bytes that are not UTF-8 are replaced.
[[nodiscard]] auto ToJsonText(const Json& document) -> std::string;

}  // namespace kcm::core
