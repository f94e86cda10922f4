#pragma once

#include <functional>
#include <optional>
#include <string>

#include "LibCore/reason.h"
#include "LibDispatch/worker_info.h"
#include "LibEntry/route_table.h"

namespace kcm::entry {

/// Decoders for the rows that the platform writes.
struct PlatformDecoders {
  /// Key of the row that holds the operators' configuration.
  std::string configuration_key;
  std::function<std::optional<RouteTable>(const std::string& text,
                                          core::Reason& reason)>
      decode_routes;
  std::function<std::optional<dispatch::WorkerInfo>(const std::string& id,
                                                    const std::string& text,
                                                    core::Reason& reason)>
      decode_worker;
};

}  // namespace kcm::entry
