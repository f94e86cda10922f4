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

auto RouteTable::ClientLimits() const -> net::HttpLimits {
  const RouteTable defaults;
  const auto limit = [&](auto RouteTable::*member) {
    return this->*member > 0 ? this->*member : defaults.*member;
  };
  return {.max_header_bytes =
              static_cast<std::size_t>(limit(&RouteTable::max_header_bytes)),
          .max_body_bytes =
              static_cast<std::size_t>(limit(&RouteTable::max_body_bytes)),
          .header_timeout_ms = limit(&RouteTable::header_timeout_ms),
          .idle_timeout_ms = limit(&RouteTable::idle_timeout_ms)};
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
