#pragma once

#include <map>
#include <string>

#include "LibState/fleet.h"
#include "LibState/row.h"
#include "LibState/verdict.h"

namespace kcm::state {

/// Decides whether the guarantees of all rows fit the fleet as shapes.
/// @param rows the table with the edited row in place.
/// @return accepted, or rejected with the guarantee that found no room.
[[nodiscard]] auto CheckGuarantees(const std::map<std::string, Row>& rows,
                                   const Fleet& fleet) -> Verdict;

}  // namespace kcm::state
