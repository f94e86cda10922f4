#pragma once

#include <optional>
#include <string>

#include "LibCore/reason.h"
#include "LibNet/http_message.h"
#include "LibState/table_fold.h"

namespace kcm::gateway {

/// Authenticated sender of a request.
struct Caller {
  bool is_operator = false;
  /// The client account; empty for operators.
  std::string account;
};

/// Authenticates the caller by the bearer token of the Authorization header.
/// @param table the client accounts' rows (limits, guarantees, hash of the
///     token), as built from the records of the log.
/// @return the caller, or nothing with `reason` of kind kBadToken.
[[nodiscard]] auto Authenticate(const net::HttpRequest& request,
                                const state::TableFold& table,
                                const std::string& operator_token_sha256,
                                core::Reason& reason) -> std::optional<Caller>;

}  // namespace kcm::gateway
