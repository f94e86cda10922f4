#pragma once

#include "LibCore/json.h"

namespace kcm::bench {

/// Measures the time of placement decisions and the memory used at several
/// fleet sizes.
/// @return one entry per size.
[[nodiscard]] auto MeasureScale() -> core::Json;

}  // namespace kcm::bench
