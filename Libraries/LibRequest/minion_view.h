#pragma once

#include <cstdint>
#include <string>

namespace kcm::request {

/// The part of a minion's entry in the platform's VM list that routing uses.
struct MinionView {
  std::string id;
  std::string data_centre;
  std::string region;
  /// The list marks the VM as one that will leave it; the VM is sent no new
  /// requests.
  bool leaving = false;
};

}  // namespace kcm::request
