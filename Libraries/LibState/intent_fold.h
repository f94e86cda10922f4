#pragma once

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
  bool resolved = false;
  int http_status = 0;
  /// One of the names of core::Conclusion.
  std::string conclusion;
  std::string content_type;
  std::string body;
};

KCM_JSON(Intent,
         account,
         key,
         gateway,
         resolved,
         http_status,
         conclusion,
         content_type,
         body)

/// The non-idempotent requests that the gateways of a data centre recorded.
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
  /// Intents by "account/idempotency key".
  std::map<std::string, Intent> intents_;
};

}  // namespace kcm::state
