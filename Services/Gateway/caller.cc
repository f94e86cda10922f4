#include "caller.h"

#include <string_view>

#include "LibCore/identity.h"

namespace kcm::gateway {

auto Authenticate(const net::HttpRequest& request,
                  const state::TableFold& table,
                  const std::string& operator_token_sha256,
                  core::Reason& reason) -> std::optional<Caller> {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.header("authorization");
  if (!header.starts_with(kScheme)) {
    return reason.Fail(core::ErrorKind::kBadToken, "authorization",
                       "The Authorization header is missing; allowed is "
                       "\"Bearer TOKEN\".");
  }
  const auto digest =
      core::Sha256Hex(std::string_view(header).substr(kScheme.size()));
  if (digest == operator_token_sha256) {
    return Caller{true, ""};
  }
  const auto* row = table.FindRowByToken(digest);
  if (row == nullptr) {
    return reason.Fail(core::ErrorKind::kBadToken, "authorization",
                       "The token belongs to no client account and to no "
                       "operator.");
  }
  return Caller{false, row->account};
}

}  // namespace kcm::gateway
