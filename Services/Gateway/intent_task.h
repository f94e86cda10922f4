#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibNode/node.h"
#include "open_request.h"

namespace kcm::gateway {

/// What the log says about a non-idempotent request.
struct IntentDecision {
  enum class Kind : std::uint8_t {
    /// The intent is recorded: the request may be sent, once.
    kMayRun,
    /// The key was answered before; `answer` repeats it.
    kRepeated,
    /// Nothing may be sent; `refusal` says why.
    kRefused,
  };

  Kind kind = Kind::kRefused;
  net::HttpAnswer answer;
  core::Reason refusal;
};

/// Records non-idempotent requests before their first byte leaves, and their
/// outcomes. The home of a key is one data centre's stream, so that two
/// gateways anywhere meet in one fold.
class IntentTask {
 public:
  using Done = std::function<void(const IntentDecision&)>;

  explicit IntentTask(node::Node& node) : node_(node) {}

  /// Records the intent, or waits for the outcome of the key's first request.
  auto Record(const std::shared_ptr<OpenRequest>& open, Done done) -> void;

  /// Records the answer that the caller gets.
  auto Resolve(const OpenRequest& open, const net::HttpAnswer& answer) -> void;

  /// @return outcomes on their way to the log.
  [[nodiscard]] auto unsettled() const -> std::size_t { return unsettled_; }

 private:
  [[nodiscard]] auto StreamOf(const std::string& account,
                              const std::string& key) const -> std::string;
  [[nodiscard]] auto FindIntent(const OpenRequest& open) const
      -> const state::Intent*;
  auto OnVerdict(const std::shared_ptr<OpenRequest>& open,
                 const state::Verdict& verdict,
                 const Done& done) -> void;
  auto AwaitOutcome(const std::shared_ptr<OpenRequest>& open, const Done& done)
      -> void;
  auto AppendOutcome(const std::string& stream, const state::Intent& outcome)
      -> void;

  node::Node& node_;
  std::size_t unsettled_ = 0;
  /// Monotonic time until which intents are refused at once: the log did not
  /// take the last one.
  core::Millis log_down_until_ = 0;
};

}  // namespace kcm::gateway
