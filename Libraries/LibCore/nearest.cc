#include "LibCore/nearest.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace kcm::core {

namespace {

auto EditDistance(std::string_view left, std::string_view right)
    -> std::size_t {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitution =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row.back();
}

}  // namespace

auto NearestWord(std::string_view word, std::span<const std::string> candidates)
    -> std::string {
  std::string nearest;
  std::size_t least = word.size() / 2 + 1;
  for (const auto& candidate : candidates) {
    // The distance is at least the difference of the lengths.
    if (std::max(word.size(), candidate.size()) -
            std::min(word.size(), candidate.size()) >=
        least) {
      continue;
    }
    const auto distance = EditDistance(word, candidate);
    if (distance < least) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

auto DidYouMean(std::string_view word, std::span<const std::string> candidates)
    -> std::string {
  const auto nearest = NearestWord(word, candidates);
  return nearest.empty() ? "" : " Did you mean \"" + nearest + "\"?";
}

}  // namespace kcm::core
