#pragma once

#include <memory>
#include <string>

#include "route.h"

struct bufferevent;

namespace kcm::standin {

/// A client's connection joined to a connection to the target.
class Pipe {
 public:
  Pipe(Route& route, int descriptor);
  ~Pipe();
  Pipe(const Pipe&) = delete;
  auto operator=(const Pipe&) -> Pipe& = delete;

  /// Applies the route's current faults.
  auto ApplyFaults() -> void;

  /// Forwards what one side sent to the other side.
  auto Forward(bufferevent* from) -> void;

  /// Closes the pipe once the bytes read so far have been forwarded.
  auto Close() -> void;

 private:
  auto Write(bool towards_target, const std::string& bytes) -> void;

  Route& route_;
  bufferevent* client_;
  bufferevent* target_;
  std::int64_t response_bytes_ = 0;
  /// Monotonic time until which the bandwidth towards the target is used up.
  core::Millis busy_until_ = 0;
  /// False once the pipe is destroyed, for delayed writes.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace kcm::standin
