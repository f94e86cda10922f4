#include "LibCore/json_decode.h"

#include <algorithm>

namespace kcm::core {

namespace {

auto IsDeeperThan(const Json& document, int levels) -> bool {
  if (!document.is_structured()) {
    return false;
  }
  return levels == 0 ||
         std::any_of(document.begin(), document.end(), [&](const Json& item) {
           return IsDeeperThan(item, levels - 1);
         });
}

}  // namespace

auto IsTooDeep(const Json& document) -> bool {
  return IsDeeperThan(document, kMaxNesting);
}

auto ToJsonText(const Json& document) -> std::string {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace kcm::core
