#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibDispatch/clock_witness.h"
#include "LibDispatch/state_row.h"

namespace kcm::entry {

/// The term and its holder, as stored.
struct TermRow {
  /// Increases with each holder; fencing token at the store and the workers.
  std::int64_t epoch = 0;
  std::string name;
  core::Address address;
  /// First epoch from which on all holders have honoured lease rows; zero if
  /// this holder may not honour them. Rows written before that epoch are void.
  std::int64_t lease_rows_since = 0;
  /// Processor capacity of the holder's VM in cores; zero if unknown.
  double cpu_capacity = 0;
  /// Witnesses of the moment at which the row was written. A holder grants
  /// leases only for a limited time after the moment of its newest row; without
  /// witnesses that may be any time until the next claim.
  dispatch::ClockWitnesses witnesses = {};
};

/// Key of the term's row. It sorts after all others, so that it can be read
/// alone.
inline constexpr const char* kTermKey = "~term";
/// Reads that start after this key return only the term's row.
inline constexpr const char* kBeforeTermKey = "~";

[[nodiscard]] auto EncodeTerm(const TermRow& term) -> dispatch::StateRow;

/// @return the term in the last of the rows that holds a readable one, or
///     nothing if there is none.
[[nodiscard]] auto FindTerm(const std::vector<dispatch::StateRow>& rows)
    -> std::optional<TermRow>;

}  // namespace kcm::entry
