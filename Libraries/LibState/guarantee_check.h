#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibState/fleet.h"
#include "LibState/row.h"
#include "LibState/verdict.h"

namespace kcm::state {

/// Tells whether an edit asks for shapes that the row did not hold before.
/// @param before the row's guarantees; empty for a new row.
/// @return false when each guarantee stays as it was, shrinks or goes.
[[nodiscard]] auto AsksForMore(const std::vector<Guarantee>& before,
                               const std::vector<Guarantee>& after) -> bool;

/// Decides whether the guarantees of all rows fit the fleet as shapes.
/// @param rows the table with the edited row in place.
/// @return accepted, or rejected with the guarantee that found no room.
[[nodiscard]] auto CheckGuarantees(const std::map<std::string, Row>& rows,
                                   const Fleet& fleet) -> Verdict;

}  // namespace kcm::state
