#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/json.h"

namespace kcm::core {

/// Most levels of nesting in a document. Ours and the platform's have fewer
/// than ten; conversions of a document recurse once a level.
inline constexpr int kMaxNesting = 64;

/// Largest number that is accepted from outside the process: beyond any time in
/// milliseconds or count, and small enough for sums of some thousands.
inline constexpr std::int64_t kMaxNumber = 1'000'000'000'000'000;

/// What a document may be to be parsed.
struct DocumentLimits {
  /// Most levels of nesting.
  int nesting = kMaxNesting;
  /// Most memory that it takes once parsed, by an upper estimate. A list of
  /// empty objects takes forty times its text.
  std::size_t bytes = std::size_t{32} * 1024 * 1024;
};

/// For what our own processes and the log wrote: it holds documents of clients
/// some levels down, and is as large as the state.
inline constexpr DocumentLimits kOwnDocument = {
    .nesting = 1024,
    .bytes = std::numeric_limits<std::size_t>::max()};

/// Parses JSON of any origin.
/// @return the document, or a discarded one for a malformed text or one that
///     nests too deeply or would take too much memory.
[[nodiscard]] auto ParseJson(std::string_view text,
                             const DocumentLimits& limits = {}) -> Json;

/// Parses MessagePack of any origin, with the same result.
[[nodiscard]] auto ParseMessagePack(std::string_view bytes,
                                    const DocumentLimits& limits = {}) -> Json;

/// @return whether a document has more than kMaxNesting levels.
[[nodiscard]] auto IsTooDeep(const Json& document) -> bool;

/// Encodes a document that ParseJson() or ParseMessagePack() has accepted, or
/// one of our own, as JSON. Never throws: bytes that are not UTF-8 are
/// replaced.
[[nodiscard]] auto ToJsonText(const Json& document) -> std::string;

/// The same with only ASCII characters.
[[nodiscard]] auto ToAsciiJsonText(const Json& document) -> std::string;

/// @return the text with each byte replaced that is not a part of UTF-8.
[[nodiscard]] auto ReplaceInvalidUtf8(const std::string& text) -> std::string;

[[nodiscard]] auto IsUtf8(const std::string& text) -> bool;

/// Quotes a text of any origin in a message, the beginning of a long one only.
[[nodiscard]] auto QuoteText(std::string_view text) -> std::string;

/// Describes a value of any origin in a message; lists and objects by their
/// size.
[[nodiscard]] auto DescribeValue(const Json& value) -> std::string;

/// @return a whole number from 0 to `maximum`, also if it is written with a
///     fraction of zero, or nothing.
[[nodiscard]] auto ToWholeNumber(const Json& value,
                                 std::int64_t maximum = kMaxNumber)
    -> std::optional<std::int64_t>;

/// @return a number from 0 to `maximum`, or nothing.
[[nodiscard]] auto ToNumber(const Json& value, double maximum)
    -> std::optional<double>;

/// @return whether all numbers in a document are from 0 to kMaxNumber. All
///     numbers in the messages between our processes and in our rows are.
[[nodiscard]] auto HasOnlyNumbersInRange(const Json& document) -> bool;

}  // namespace kcm::core
