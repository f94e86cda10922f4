#pragma once

#include <optional>
#include <string>
#include <utility>

#include "LibCore/error_kind.h"
#include "LibCore/json.h"

namespace kcm::core {

/// Why a fallible call returned no value.
struct Reason {
  ErrorKind kind = ErrorKind::kNone;
  /// The setting, column or member at fault; empty when none is.
  std::string field;
  /// A full sentence with the given value and what is allowed.
  std::string message;

  /// Records a failure.
  /// @return std::nullopt, so that callers can `return reason.Fail(...)`.
  auto Fail(ErrorKind failed_kind,
            std::string failed_field,
            std::string failed_message) -> std::nullopt_t {
    kind = failed_kind;
    field = std::move(failed_field);
    message = std::move(failed_message);
    return std::nullopt;
  }
};

/// Encodes a reason as the body of an error response.
auto ToErrorBody(const Reason& reason) -> Json;

/// Decodes a reason from the body of an error response.
auto FromErrorBody(const Json& body) -> Reason;

}  // namespace kcm::core
