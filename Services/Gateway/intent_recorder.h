#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibNode/node.h"
#include "open_request.h"

namespace kcm::gateway {

/// Whether a non-idempotent request may be sent, by the records in the
/// platform's append-only log.
struct IntentDecision {
  enum class Kind : std::uint8_t {
    /// The intent, the record of the request, is in the log: the request may be
    /// sent, once.
    kMayRun,
    /// The idempotency key already has an outcome; `answer` repeats it.
    kRepeated,
    /// The request must not be sent; `refusal` is the reason.
    kRefused,
  };

  Kind kind = Kind::kRefused;
  net::HttpResponse answer;
  core::Reason refusal;
};

/// Records non-idempotent requests (the intents) before their first byte is
/// sent, and their outcomes. The log has a stream for each data centre; all
/// records of an account's idempotency key go to the same one, so that
/// duplicates are detected at whichever gateways they arrive.
class IntentRecorder {
 public:
  using Done = std::function<void(const IntentDecision&)>;

  explicit IntentRecorder(node::Node& node) : node_(node) {}

  /// Records the intent, or waits for the outcome of the key's first request.
  auto RecordIntent(const std::shared_ptr<OpenRequest>& open, Done done)
      -> void;

  /// Records the answer that is sent to the caller.
  auto RecordOutcome(const OpenRequest& open, const net::HttpResponse& answer)
      -> void;

  /// @return number of outcomes that are not yet recorded in the log.
  [[nodiscard]] auto pending_outcomes() const -> std::size_t {
    return pending_outcomes_;
  }

 private:
  [[nodiscard]] auto StreamOf(const std::string& account,
                              const std::string& key) const -> std::string;
  [[nodiscard]] auto FindIntent(const OpenRequest& open) const
      -> const state::Intent*;
  auto HandleRecordResult(const std::shared_ptr<OpenRequest>& open,
                          const state::ApplyResult& result,
                          const Done& done) -> void;
  auto AwaitOutcome(const std::shared_ptr<OpenRequest>& open, const Done& done)
      -> void;
  auto AppendOutcome(const std::string& stream, const state::Intent& outcome)
      -> void;

  node::Node& node_;
  std::size_t pending_outcomes_ = 0;
  /// Monotonic time until which intents are refused at once, because the log
  /// did not accept the last one.
  core::Millis log_down_until_ = 0;
};

}  // namespace kcm::gateway
