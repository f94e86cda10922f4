#pragma once

#include <span>
#include <string>
#include <string_view>

namespace kcm::core {

/// Finds the candidate with the smallest edit distance to `word`.
/// @return the candidate, or an empty string when none is similar.
auto NearestWord(std::string_view word, std::span<const std::string> candidates)
    -> std::string;

/// Formats a suggestion to append to a message: ` Did you mean "weight"?`.
/// @return the suggestion, or an empty string when none is similar.
auto DidYouMean(std::string_view word, std::span<const std::string> candidates)
    -> std::string;

}  // namespace kcm::core
