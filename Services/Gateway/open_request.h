#pragma once

#include <memory>
#include <set>
#include <string>

#include "LibCore/error_kind.h"
#include "LibNode/hop_span.h"
#include "LibRequest/share_ledger.h"
#include "api_call.h"

namespace kcm::gateway {

/// An accepted request of a client account that is not answered yet.
struct OpenRequest {
  explicit OpenRequest(const ApiCall& accepted) : call(accepted) {}

  [[nodiscard]] auto account() const -> const std::string& {
    return call.caller.account;
  }

  ApiCall call;
  std::uint64_t id = 0;
  core::Millis deadline = 0;
  bool idempotent = true;
  /// The idempotency key.
  std::string key;
  /// Id of the recorded intent (the record of a non-idempotent request), and
  /// the stream of the log that contains it; empty without one.
  std::string intent;
  std::string intent_stream;
  int attempts = 0;
  std::set<std::string> tried_minions;
  /// Trace span (HopSpan) of the current wait in the queue; null before the
  /// first.
  std::shared_ptr<node::HopSpan> queue_span;
  /// Unit of the account's concurrency limit that an attempt holds, and the
  /// time until which a minion may still execute an abandoned attempt.
  std::optional<request::AcquiredUnit> concurrency_unit;
  core::Millis concurrency_free_at = 0;
  /// Worst conclusion of the earlier attempts: when one may have run, a later
  /// refusal must not be answered as not run.
  core::Conclusion worst_conclusion = core::Conclusion::kNotRun;
};

}  // namespace kcm::gateway
