#pragma once

#include <memory>
#include <set>
#include <string>

#include "LibCore/address.h"
#include "LibNet/event_loop.h"
#include "faults.h"

struct evconnlistener;

namespace kcm::standin {

class Pipe;

/// A listening address whose connections are forwarded to one target.
class Route {
 public:
  Route(net::EventLoop& loop, core::Address listen, core::Address target);
  ~Route();
  Route(const Route&) = delete;
  auto operator=(const Route&) -> Route& = delete;

  /// Applies new faults, to open connections as well.
  auto SetFaults(const Faults& faults) -> void;

  [[nodiscard]] auto loop() -> net::EventLoop& { return loop_; }
  [[nodiscard]] auto faults() const -> const Faults& { return faults_; }
  [[nodiscard]] auto traffic() -> Traffic& { return traffic_; }
  [[nodiscard]] auto target() const -> const core::Address& { return target_; }

  /// Forwards an accepted connection.
  auto AcceptConnection(int descriptor) -> void;
  /// Deletes a closed pipe.
  auto RemovePipe(Pipe* pipe) -> void;

 private:
  auto Listen() -> void;

  net::EventLoop& loop_;
  core::Address listen_;
  core::Address target_;
  Faults faults_;
  Traffic traffic_;
  evconnlistener* listener_ = nullptr;
  std::set<Pipe*> pipes_;
};

}  // namespace kcm::standin
