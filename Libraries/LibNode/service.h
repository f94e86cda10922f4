#pragma once

#include <functional>
#include <memory>

#include "LibNode/node.h"

namespace kcm::node {

/// The work of one process.
class Service {
 public:
  using Factory =
      std::function<std::unique_ptr<Service>(Node& node, core::Reason& reason)>;

  virtual ~Service() = default;

  /// Ends the work without cutting any.
  /// @param done called when nothing is left to do.
  virtual auto Drain(std::function<void()> done) -> void = 0;
};

/// Parses the command line, checks the settings and runs a service until it
/// was told to stop.
/// @return the exit code of the process: 0 after a drain or a check, 2 for a
///     bad command line or bad settings.
auto RunService(int argc,
                const char* const* argv,
                Role role,
                const Service::Factory& factory) -> int;

}  // namespace kcm::node
