#pragma once

#include <string>

namespace kcm::dispatch {

/// One row of the durable state; the newest row of a key is what holds.
struct Row {
  std::string key;
  /// Empty when the key is dropped.
  std::string value;
};

}  // namespace kcm::dispatch
