#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "LibCore/error_kind.h"
#include "LibState/fold.h"

namespace kcm::state {

/// A non-idempotent request: recorded before its first byte leaves a gateway.
struct Intent {
  std::string account;
  std::string key;
  /// The gateway that may send the request.
  std::string gateway;
  /// Unique id of this recording; an outcome resolves only its own.
  std::string attempt;
  bool resolved = false;
  int http_status = 0;
  /// One of the names of core::Conclusion.
  std::string conclusion;
  std::string content_type;
  /// The answer's body in base64; empty when it was too large to record.
  std::string body_base64;
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

/// The non-idempotent requests whose home is one data centre.
///
/// A key that was resolved as not run may be recorded again. The oldest keys
/// are forgotten by count and the oldest bodies by bytes, in log order, so
/// that the state is bounded and the same everywhere.
class IntentFold final : public Fold {
 public:
  /// @return the intent of an account's idempotency key, or null.
  [[nodiscard]] auto Find(const std::string& account,
                          const std::string& key) const -> const Intent*;

  [[nodiscard]] auto size() const -> std::size_t { return intents_.size(); }

 protected:
  auto Decide(const Record& record) -> Verdict override;
  [[nodiscard]] auto StateToJson() const -> core::Json override;
  auto StateFromJson(const core::Json& document) -> void override;

 private:
  auto ForgetOldest() -> void;

  /// Intents by "account/idempotency key".
  std::map<std::string, Intent> intents_;
  /// Names in the order of their first recording.
  std::deque<std::string> order_;
  /// Names whose body is kept, in the order of their outcomes.
  std::deque<std::string> bodies_;
  std::size_t body_bytes_ = 0;
};

}  // namespace kcm::state
