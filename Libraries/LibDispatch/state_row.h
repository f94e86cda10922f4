#pragma once

#include <string>

namespace kcm::dispatch {

/// One row of the durable state; the newest row of a key is current.
struct StateRow {
  std::string key;
  /// Empty if the key is deleted.
  std::string value;
};

}  // namespace kcm::dispatch
