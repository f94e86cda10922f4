#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibState/account_row.h"
#include "LibState/apply_result.h"
#include "LibState/fleet.h"

namespace kcm::state {

/// Checks whether an edit guarantees more than the row did before.
/// @param before the row's guarantees; empty for a new row.
/// @return false when each guarantee is unchanged, smaller or removed.
[[nodiscard]] auto IncreasesGuarantees(const std::vector<Guarantee>& before,
                                       const std::vector<Guarantee>& after)
    -> bool;

/// Checks whether the guarantees of all rows fit the fleet together.
/// @param rows the table with the edited row in place.
/// @return the result for the edit: accepted, or rejected with the guarantee
///     that does not fit.
[[nodiscard]] auto CheckGuarantees(
    const std::map<std::string, AccountRow>& rows,
    const Fleet& fleet) -> ApplyResult;

}  // namespace kcm::state
