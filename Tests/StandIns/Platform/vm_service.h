#pragma once

#include <deque>
#include <utility>

#include "LibCore/clock.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for the platform's list of VMs, which lags behind the truth.
class VmService {
 public:
  /// Replaces the true list; readers see it after the lag.
  auto Set(core::Json vms) -> void;

  /// Changes members of one VM in the true list.
  auto Change(const std::string& id, const core::Json& members) -> void;

  auto SetLag(core::Millis lag) -> void { lag_ = lag; }

  /// Serves GET /v1/vms.
  auto Serve(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

 private:
  core::Millis lag_ = 0;
  std::deque<std::pair<core::Millis, core::Json>> versions_;
};

}  // namespace kcm::standin
