#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/address.h"

namespace kcm::platform {

/// One VM as the platform lists it; the list may be outdated.
struct Vm {
  std::string id;
  /// "worker" or "minion".
  std::string role;
  core::Address address;
  std::string data_centre;
  std::string region;
  bool leaving = false;
};

/// The platform's list of live and leaving VMs.
class VmList {
 public:
  /// Receives the list, or nothing when the platform did not answer.
  using ListDone = std::function<void(std::optional<std::vector<Vm>>)>;

  virtual ~VmList() = default;

  /// Lists the VMs of one role.
  virtual auto List(const std::string& role, ListDone done) -> void = 0;
};

}  // namespace kcm::platform
