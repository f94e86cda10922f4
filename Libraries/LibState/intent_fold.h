#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "LibCore/error_kind.h"
#include "LibState/fold.h"

namespace kcm::state {

/// A non-idempotent request of a client account, recorded before a gateway
/// sends it to a minion, and its outcome.
struct Intent {
  std::string account;
  /// The idempotency key of the request.
  std::string key;
  /// The gateway that may send the request.
  std::string gateway;
  /// Unique id of this attempt; an outcome resolves only the same one.
  std::string attempt;
  /// An outcome was recorded; until then it is open whether the request ran.
  bool resolved = false;
  int http_status = 0;
  /// How the request ended, as a name of core::Conclusion: done, not_run,
  /// failed or unknown.
  std::string conclusion;
  std::string content_type;
  /// Body of the answer in base64; empty before the outcome is recorded, and
  /// when the body was too large to record or was dropped later.
  std::string body_base64;
  /// False when the body was too large to record or was dropped later. Has no
  /// meaning before the outcome is recorded.
  bool body_recorded = true;
};

KCM_JSON(Intent,
         account,
         key,
         gateway,
         attempt,
         resolved,
         http_status,
         conclusion,
         content_type,
         body_base64,
         body_recorded)

/// The non-idempotent requests recorded in the stream of one data centre.
///
/// A key whose outcome is not_run may be recorded again. The oldest keys beyond
/// a count and the oldest bodies beyond a size are dropped in log order, so
/// that the state is bounded and equal in all processes.
class IntentFold final : public Fold {
 public:
  /// @return the intent of an account's idempotency key, or null.
  [[nodiscard]] auto FindIntent(const std::string& account,
                                const std::string& key) const -> const Intent*;

  [[nodiscard]] auto size() const -> std::size_t { return intents_.size(); }

 protected:
  auto ApplyToState(const Record& record) -> ApplyResult override;
  [[nodiscard]] auto StateToJson() const -> core::Json override;
  auto StateFromJson(const core::Json& document) -> void override;

 private:
  auto DropOldest() -> void;

  /// Intents by "account/idempotency key".
  std::map<std::string, Intent> intents_;
  /// Keys of `intents_` in the order of their first record.
  std::deque<std::string> order_;
  /// Keys of `intents_` whose body is kept, in the order of their outcomes.
  std::deque<std::string> bodies_;
  std::size_t body_bytes_ = 0;
};

}  // namespace kcm::state
