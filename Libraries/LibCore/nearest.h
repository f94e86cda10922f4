#pragma once

#include <span>
#include <string>
#include <string_view>

namespace kcm::core {

/// Finds the word that needs the fewest edits.
/// @return the nearest candidate, or an empty text when none is similar.
auto NearestWord(std::string_view word, std::span<const std::string> candidates)
    -> std::string;

/// Builds the tail of a message, such as ` Did you mean "weight"?`.
/// @return the tail, or an empty text when no candidate is similar.
auto DidYouMean(std::string_view word, std::span<const std::string> candidates)
    -> std::string;

}  // namespace kcm::core
