#pragma once

#include <cstdint>
#include <string>

namespace kcm::request {

/// A minion as the platform lists it, reduced to what routing needs.
struct MinionView {
  std::string id;
  std::string data_centre;
  std::string region;
  bool leaving = false;
};

}  // namespace kcm::request
