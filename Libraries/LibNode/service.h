#pragma once

#include <functional>
#include <memory>

#include "LibNode/node.h"

namespace kcm::node {

/// The part of a process that differs between roles.
class Service {
 public:
  using Factory =
      std::function<std::unique_ptr<Service>(Node& node, core::Reason& reason)>;

  virtual ~Service() = default;

  /// Finishes the open work and accepts no more.
  /// @param done called when no work is left.
  virtual auto Drain(std::function<void()> done) -> void = 0;
};

/// Parses the command line, checks the settings and runs a service until a
/// signal stops it.
/// @return the exit code of the process: 0 after a drain or a check, 2 for a
///     bad command line or bad settings.
auto RunService(int argc,
                const char* const* argv,
                Role role,
                const Service::Factory& factory) -> int;

}  // namespace kcm::node
