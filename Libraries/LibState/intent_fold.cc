#include "LibState/intent_fold.h"

#include <utility>

namespace kcm::state {

auto IntentFold::Find(const std::string& account, const std::string& key) const
    -> const Intent* {
  const auto found = intents_.find(account + "/" + key);
  return found == intents_.end() ? nullptr : &found->second;
}

auto IntentFold::Decide(const Record& record) -> Verdict {
  auto intent = record.body.get<Intent>();
  const auto name = intent.account + "/" + intent.key;
  const auto found = intents_.find(name);
  if (record.kind == RecordKind::kIntentRecorded) {
    if (found != intents_.end()) {
      return Verdict::Reject(
          core::ErrorKind::kConflict, "idempotency_key",
          "The key was recorded by " + found->second.gateway + ".");
    }
    intents_.emplace(name, std::move(intent));
    return Verdict::Accept();
  }
  if (record.kind == RecordKind::kIntentResolved) {
    if (found == intents_.end() || found->second.resolved) {
      return Verdict::Reject(core::ErrorKind::kConflict, "idempotency_key",
                             "The key is unknown or resolved.");
    }
    found->second = std::move(intent);
    found->second.resolved = true;
  }
  return Verdict::Accept();
}

auto IntentFold::StateToJson() const -> core::Json {
  return {{"intents", intents_}};
}

auto IntentFold::StateFromJson(const core::Json& document) -> void {
  document.at("intents").get_to(intents_);
}

}  // namespace kcm::state
