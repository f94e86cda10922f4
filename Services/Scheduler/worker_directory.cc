#include "worker_directory.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kRefreshPeriodMs = 500;
/// Time without new gangs for a worker that refused or did not answer.
constexpr core::Millis kExclusionMs = 5000;

}  // namespace

WorkerDirectory::WorkerDirectory(node::Node& node) : node_(node) {
  node.loop().Every(kRefreshPeriodMs, [this] { RefreshList(); });
  node.loop().After(0, [this] { RefreshList(); });
}

auto WorkerDirectory::AddressOf(const std::string& worker) const
    -> std::optional<core::Address> {
  const auto found = addresses_.find(worker);
  return found == addresses_.end() ? std::nullopt
                                   : std::optional(found->second);
}

auto WorkerDirectory::IsUsable(const std::string& worker) const -> bool {
  const auto excluded = excluded_until_.find(worker);
  return available_.contains(worker) &&
         !node_.log().cluster_state().table().cordons().contains(worker) &&
         (excluded == excluded_until_.end() ||
          core::MonotonicNow() >= excluded->second);
}

auto WorkerDirectory::ExcludeTemporarily(const std::string& worker) -> void {
  excluded_until_[worker] = core::MonotonicNow() + kExclusionMs;
}

auto WorkerDirectory::RecordRenewal(const std::string& worker, bool answered)
    -> void {
  if (!answered) {
    ExcludeTemporarily(worker);
  }
}

auto WorkerDirectory::RefreshList() -> void {
  node_.vm_list().List(
      "worker", [this](const std::optional<std::vector<platform::Vm>>& vms) {
        if (!vms) {
          return;
        }
        available_.clear();
        for (const auto& vm : *vms) {
          addresses_[vm.id] = vm.address;
          if (!vm.leaving) {
            available_.insert(vm.id);
          }
        }
      });
}

}  // namespace kcm::scheduler
