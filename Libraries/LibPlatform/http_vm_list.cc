#include "LibPlatform/http_vm_list.h"

#include "LibCore/json.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

namespace kcm::platform {

namespace {

constexpr core::Millis kListTimeoutMs = 2000;

auto ToVm(const core::Json& document) -> std::optional<Vm> {
  core::Reason unused;
  const auto address =
      core::ParseAddress(document.value("address", ""), "address", unused);
  if (!address) {
    return std::nullopt;
  }
  return Vm{document.value("id", ""),
            document.value("role", ""),
            *address,
            document.value("data_centre", ""),
            document.value("region", ""),
            document.value("leaving", false)};
}

auto ToVms(const net::HttpResult& result) -> std::optional<std::vector<Vm>> {
  if (result.exchange != net::Exchange::kAnswered ||
      result.response.status != net::kHttpOk) {
    return std::nullopt;
  }
  const auto document =
      core::ParseJson(result.response.body, core::kOwnDocument);
  if (!document.is_object() || !document.contains("vms")) {
    return std::nullopt;
  }
  std::vector<Vm> vms;
  for (const auto& entry : document.at("vms")) {
    if (auto vm = ToVm(entry)) {
      vms.push_back(std::move(*vm));
    }
  }
  return vms;
}

}  // namespace

auto HttpVmList::List(const std::string& role, ListDone done) -> void {
  const net::HttpRequest request{"GET", "/v1/vms", {{"role", role}}, {}, ""};
  http_.Send(service_, request, kListTimeoutMs,
             [done = std::move(done)](const net::HttpResult& result) {
               done(ToVms(result));
             });
}

}  // namespace kcm::platform
