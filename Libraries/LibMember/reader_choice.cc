#include "LibMember/reader_choice.h"

#include <algorithm>
#include <tuple>

#include "LibCore/check.h"

namespace kcm::member {

namespace {

auto IsPreferred(const RelayStatus& left, const RelayStatus& right) -> bool {
  const auto key = [](const RelayStatus& status) {
    return std::tuple(!status.ready, !status.reachable, status.name);
  };
  return key(left) < key(right);
}

}  // namespace

auto ChooseReader(const std::vector<RelayStatus>& alive) -> std::string {
  KCM_CHECK(!alive.empty());
  return std::min_element(alive.begin(), alive.end(), IsPreferred)->name;
}

}  // namespace kcm::member
