#pragma once

#include <string>

namespace kcm::dispatch {

/// The queue and the client account that a job was submitted with.
struct JobOwner {
  std::string queue;
  /// Empty if the queue was public and the caller sent no token.
  std::string account;
};

}  // namespace kcm::dispatch
