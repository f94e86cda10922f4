#include "worker_directory.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kPollPeriod = 500;
/// Span without new gangs for a worker that refused or did not answer.
constexpr core::Millis kAsideSpan = 5000;

}  // namespace

WorkerDirectory::WorkerDirectory(node::Node& node) : node_(node) {
  node.loop().Every(kPollPeriod, [this] { Poll(); });
  node.loop().After(0, [this] { Poll(); });
}

auto WorkerDirectory::AddressOf(const std::string& worker) const
    -> std::optional<core::Address> {
  const auto found = addresses_.find(worker);
  return found == addresses_.end() ? std::nullopt
                                   : std::optional(found->second);
}

auto WorkerDirectory::IsUsable(const std::string& worker) const -> bool {
  const auto aside = aside_until_.find(worker);
  return usable_.contains(worker) &&
         !node_.log().world().table().cordons().contains(worker) &&
         (aside == aside_until_.end() || core::MonotonicNow() >= aside->second);
}

auto WorkerDirectory::SetAside(const std::string& worker) -> void {
  aside_until_[worker] = core::MonotonicNow() + kAsideSpan;
}

auto WorkerDirectory::NoteAnswer(const std::string& worker, bool answered)
    -> void {
  if (!answered) {
    SetAside(worker);
  }
}

auto WorkerDirectory::Poll() -> void {
  node_.vm_list().List(
      "worker", [this](const std::optional<std::vector<platform::Vm>>& vms) {
        if (!vms) {
          return;
        }
        usable_.clear();
        for (const auto& vm : *vms) {
          addresses_[vm.id] = vm.address;
          if (!vm.leaving) {
            usable_.insert(vm.id);
          }
        }
      });
}

}  // namespace kcm::scheduler
