#pragma once

#include <deque>
#include <utility>

#include "LibCore/clock.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for the platform's list of VMs, which is served with a lag.
class VmService {
 public:
  /// Replaces the list; it is served after the lag.
  auto SetVms(core::Json vms) -> void;

  /// Changes members of one VM in the latest list.
  auto UpdateVm(const std::string& id, const core::Json& members) -> void;

  auto SetLag(core::Millis lag) -> void { lag_ = lag; }

  /// Handles GET /v1/vms.
  auto HandleRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;

 private:
  core::Millis lag_ = 0;
  std::deque<std::pair<core::Millis, core::Json>> versions_;
};

}  // namespace kcm::standin
