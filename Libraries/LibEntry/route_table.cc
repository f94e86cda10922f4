#include "LibEntry/route_table.h"

namespace kcm::entry {

auto RouteTable::FindRoute(std::string_view host, std::string_view path) const
    -> const Route* {
  const Route* best = nullptr;
  for (const auto& route : routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

auto RouteTable::QueuePolicies() const
    -> std::map<std::string, dispatch::QueuePolicy> {
  std::map<std::string, dispatch::QueuePolicy> policies;
  for (const auto& route : routes) {
    policies[route.queue] = route.policy;
  }
  return policies;
}

}  // namespace kcm::entry
