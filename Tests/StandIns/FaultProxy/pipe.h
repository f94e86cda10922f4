#pragma once

#include <memory>
#include <string>

#include "route.h"

struct bufferevent;

namespace kcm::standin {

/// A caller's connection joined to a connection to the target.
class Pipe {
 public:
  Pipe(Route& route, int descriptor);
  ~Pipe();
  Pipe(const Pipe&) = delete;
  auto operator=(const Pipe&) -> Pipe& = delete;

  /// Follows a change of the route's faults.
  auto ApplyFaults() -> void;

  /// Moves what one side sent on to the other side.
  auto Move(bufferevent* from) -> void;

  /// Ends the pipe once what was read has been passed on.
  auto Close() -> void;

 private:
  auto Write(bool towards_target, const std::string& bytes) -> void;

  Route& route_;
  bufferevent* caller_;
  bufferevent* target_;
  std::int64_t answered_ = 0;
  /// Monotonic time until which the bandwidth towards the target is used up.
  core::Millis busy_until_ = 0;
  /// Tells delayed writes whether the pipe still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kcm::standin
