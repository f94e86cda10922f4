#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibDispatch/row.h"

namespace kcm::entry {

/// Who holds the term, as the store has it.
struct TermRow {
  /// Rises with each holder; it fences the store and the workers.
  std::int64_t epoch = 0;
  std::string name;
  core::Address address;
};

/// The key of the term's row. It sorts behind all others, so that it can be
/// read alone.
inline constexpr const char* kTermKey = "~term";
/// Reads that begin behind this key give only the term's row.
inline constexpr const char* kBeforeTermKey = "~";

[[nodiscard]] auto EncodeTerm(const TermRow& term) -> dispatch::Row;

/// @return the newest term among the rows, or nothing before the first.
[[nodiscard]] auto FindTerm(const std::vector<dispatch::Row>& rows)
    -> std::optional<TermRow>;

}  // namespace kcm::entry
