#include "LibState/intent_fold.h"

#include <utility>

namespace kcm::state {

namespace {

constexpr std::size_t kMaxIntents = 16384;
constexpr std::size_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr std::string_view kNotRun = "not_run";

}  // namespace

auto IntentFold::FindIntent(const std::string& account,
                            const std::string& key) const -> const Intent* {
  const auto found = intents_.find(account + "/" + key);
  return found == intents_.end() ? nullptr : &found->second;
}

auto IntentFold::ApplyToState(const Record& record) -> ApplyResult {
  auto intent = record.body.get<Intent>();
  const auto name = intent.account + "/" + intent.key;
  const auto found = intents_.find(name);
  if (record.kind == RecordKind::kIntentRecorded) {
    if (found == intents_.end()) {
      intents_.emplace(name, std::move(intent));
      order_.push_back(name);
      DropOldest();
      return ApplyResult::Accept();
    }
    if (found->second.resolved && found->second.conclusion == kNotRun) {
      found->second = std::move(intent);
      return ApplyResult::Accept();
    }
    return ApplyResult::Reject(
        core::ErrorKind::kConflict, "idempotency_key",
        "The key was recorded by " + found->second.gateway + ".");
  }
  if (record.kind == RecordKind::kIntentResolved) {
    if (found == intents_.end() || found->second.resolved ||
        found->second.attempt != intent.attempt) {
      return ApplyResult::Reject(
          core::ErrorKind::kConflict, "idempotency_key",
          "The key is unknown, resolved or recorded again.");
    }
    // A not-run outcome may be replaced, so that its body need not be kept.
    if (intent.conclusion == kNotRun) {
      intent.body_base64.clear();
    }
    found->second = std::move(intent);
    found->second.resolved = true;
    if (!found->second.body_base64.empty()) {
      body_bytes_ += found->second.body_base64.size();
      bodies_.push_back(name);
      DropOldest();
    }
  }
  return ApplyResult::Accept();
}

auto IntentFold::DropOldest() -> void {
  while (body_bytes_ > kMaxBodyBytes) {
    const auto found = intents_.find(bodies_.front());
    bodies_.pop_front();
    if (found != intents_.end()) {
      body_bytes_ -= found->second.body_base64.size();
      found->second.body_base64.clear();
      found->second.body_recorded = false;
    }
  }
  while (order_.size() > kMaxIntents) {
    const auto found = intents_.find(order_.front());
    order_.pop_front();
    body_bytes_ -= found->second.body_base64.size();
    std::erase(bodies_, found->first);
    intents_.erase(found);
  }
}

auto IntentFold::StateToJson() const -> core::Json {
  return {{"intents", intents_},
          {"order", order_},
          {"bodies", bodies_},
          {"body_bytes", body_bytes_}};
}

auto IntentFold::StateFromJson(const core::Json& document) -> void {
  document.at("intents").get_to(intents_);
  document.at("order").get_to(order_);
  document.at("bodies").get_to(bodies_);
  document.at("body_bytes").get_to(body_bytes_);
}

}  // namespace kcm::state
