#pragma once

#include "LibCore/json.h"

namespace kcm::bench {

/// Measures the cost of decisions and memory at several fleet sizes.
/// @return one entry per size.
[[nodiscard]] auto MeasureScale() -> core::Json;

}  // namespace kcm::bench
