#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibDispatch/queue_policy.h"
#include "LibNet/http_limits.h"

namespace kcm::entry {

/// One queue and the host and path prefix of its calls.
struct Route {
  std::string queue;
  std::string host;
  std::string path_prefix;
  /// Callers need no token.
  bool is_public = false;
  dispatch::QueuePolicy policy;
};

KCM_JSON(Route, queue, host, path_prefix, is_public, policy)

/// One version of the operators' whole configuration: the routes, the client
/// accounts with their guarantees, and the limits on clients' requests.
struct RouteTable {
  /// Zero before the first configuration was read; only increases.
  std::int64_t version = 0;
  std::vector<Route> routes;
  /// Client account by token.
  std::map<std::string, std::string> accounts;
  /// Number of accelerators guaranteed to each client account.
  std::map<std::string, std::int64_t> guarantees;
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 262144;
  core::Millis header_timeout_ms = 3000;
  core::Millis idle_timeout_ms = 15000;

  /// @return the route with the longest matching prefix, or nullptr.
  [[nodiscard]] auto FindRoute(std::string_view host,
                               std::string_view path) const -> const Route*;

  /// @return what the server for clients accepts; a limit of zero counts as
  ///     not given.
  [[nodiscard]] auto ClientLimits() const -> net::HttpLimits;

  /// @return the policies by queue name.
  [[nodiscard]] auto QueuePolicies() const
      -> std::map<std::string, dispatch::QueuePolicy>;
};

KCM_JSON(RouteTable,
         version,
         routes,
         accounts,
         guarantees,
         max_header_bytes,
         max_body_bytes,
         header_timeout_ms,
         idle_timeout_ms)

}  // namespace kcm::entry
