#pragma once

#include "LibCore/reason.h"

namespace kcm::state {

/// Whether a fold accepts one record, or a check the content of one.
struct ApplyResult {
  bool accepted = true;
  /// Why a record was rejected.
  core::Reason reason;

  [[nodiscard]] static auto Accept() -> ApplyResult { return {}; }
  [[nodiscard]] static auto Reject(core::ErrorKind kind,
                                   std::string field,
                                   std::string message) -> ApplyResult {
    return {false, {kind, std::move(field), std::move(message)}};
  }
};

}  // namespace kcm::state
