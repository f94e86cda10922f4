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
  /// @return the data centre that a row of the operators' table evacuates;
  ///     nothing for any other row. Empty if there are no such rows.
  std::function<std::optional<std::string>(const std::string& key)>
      decode_evacuation_key;
};

}  // namespace kcm::entry
