#include "vm_service.h"
#include "LibNet/http_status.h"

namespace kcm::standin {

auto VmService::SetVms(core::Json vms) -> void {
  // The first list is served immediately: there is no older one.
  const auto at = versions_.empty() ? 0 : core::MonotonicNow();
  versions_.emplace_back(at, std::move(vms));
}

auto VmService::UpdateVm(const std::string& id, const core::Json& members)
    -> void {
  auto vms = versions_.empty() ? core::Json::array() : versions_.back().second;
  for (auto& vm : vms) {
    if (vm.value("id", "") == id) {
      vm.update(members);
    }
  }
  SetVms(std::move(vms));
}

auto VmService::HandleRequest(const net::HttpRequest& request,
                              const net::HttpReply& reply) -> void {
  const auto horizon = core::MonotonicNow() - lag_;
  while (versions_.size() > 1 && versions_[1].first <= horizon) {
    versions_.pop_front();
  }
  core::Json vms = core::Json::array();
  const auto role = request.argument("role", "");
  if (!versions_.empty() && versions_.front().first <= horizon) {
    for (const auto& vm : versions_.front().second) {
      if (role.empty() || vm.value("role", "") == role) {
        vms.push_back(vm);
      }
    }
  }
  reply.SendJson(net::kHttpOk, {{"vms", vms}});
}

}  // namespace kcm::standin
