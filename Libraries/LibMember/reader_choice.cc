#include "LibMember/reader_choice.h"

#include <algorithm>
#include <tuple>

#include "LibCore/check.h"

namespace kcm::member {

namespace {

auto IsPreferred(const RelayView& left, const RelayView& right) -> bool {
  const auto key = [](const RelayView& view) {
    return std::tuple(!view.ready, !view.reachable, view.name);
  };
  return key(left) < key(right);
}

}  // namespace

auto ChooseReader(const std::vector<RelayView>& alive) -> std::string {
  KCM_CHECK(!alive.empty());
  return std::min_element(alive.begin(), alive.end(), IsPreferred)->name;
}

}  // namespace kcm::member
