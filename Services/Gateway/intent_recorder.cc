#include "intent_recorder.h"

#include <algorithm>
#include <utility>

#include "LibCore/base64.h"
#include "LibCore/event.h"
#include "LibCore/identity.h"
#include "LibCore/json_decode.h"
#include "LibCore/stable_hash.h"
#include "LibNet/http_status.h"

namespace kcm::gateway {

namespace {

/// The log counts as down for new intents when an append takes longer.
constexpr core::Millis kRecordTimeout = 1500;
constexpr core::Millis kLogDownBackoff = 500;
constexpr core::Millis kOutcomeTimeout = 600000;
constexpr core::Millis kOutcomePoll = 20;
/// Time to send the answer to the caller before its deadline.
constexpr core::Millis kRecordMargin = 100;
constexpr std::size_t kMaxRecordedBody = 16384;

auto IsPrintable(const std::string& text) -> bool {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

auto AnswerOf(const state::Intent& intent) -> net::HttpResponse {
  net::HttpResponse answer;
  answer.status = intent.http_status;
  answer.headers = {{"content-type", intent.content_type},
                    {"x-conclusion", intent.conclusion},
                    {"x-repeated", "true"}};
  const auto body = core::FromBase64(intent.body_base64);
  if (intent.body_recorded && body) {
    answer.body = *body;
    return answer;
  }
  // The conclusion is valid, but an empty body must not look complete.
  answer.status = net::kHttpConflict;
  answer.headers["content-type"] = "application/json";
  answer.body = core::ToJsonText(core::ToErrorBody(
                    {core::ErrorKind::kConflict, "idempotency-key",
                     "The first request with this key ended; "
                     "its answer is no longer recorded."})) +
                "\n";
  return answer;
}

}  // namespace

auto IntentRecorder::StreamOf(const std::string& account,
                              const std::string& key) const -> std::string {
  auto data_centres = node_.DataCentresOf("");
  std::sort(data_centres.begin(), data_centres.end());
  // A key that was recorded while the data centres were configured differently
  // keeps its stream.
  for (const auto& data_centre : data_centres) {
    const auto* intents = node_.log().cluster_state().FindIntents(data_centre);
    if (intents->FindIntent(account, key) != nullptr) {
      return state::IntentStreamOf(data_centre);
    }
  }
  const auto hash = core::StableHash(account + "/" + key);
  return state::IntentStreamOf(data_centres[hash % data_centres.size()]);
}

auto IntentRecorder::FindIntent(const OpenRequest& open) const
    -> const state::Intent* {
  for (const auto& data_centre : node_.DataCentresOf("")) {
    const auto* intents = node_.log().cluster_state().FindIntents(data_centre);
    if (state::IntentStreamOf(data_centre) == open.intent_stream) {
      return intents->FindIntent(open.account(), open.key);
    }
  }
  return nullptr;
}

auto IntentRecorder::RecordIntent(const std::shared_ptr<OpenRequest>& open,
                                  Done done) -> void {
  const auto now = core::MonotonicNow();
  open->intent_stream = StreamOf(open->account(), open->key);
  const auto* recorded = FindIntent(*open);
  if (recorded != nullptr &&
      !(recorded->resolved && recorded->conclusion == "not_run")) {
    AwaitOutcome(open, done);
    return;
  }
  if (now < log_down_until_) {
    done({IntentDecision::Kind::kRefused,
          {},
          {core::ErrorKind::kLogDown, "log",
           "The log is not accepting records."}});
    return;
  }
  open->intent = core::MakeId("intent");
  state::Intent intent;
  intent.account = open->account();
  intent.key = open->key;
  intent.gateway = node_.self();
  intent.attempt = open->intent;
  node_.writer().Append(
      open->intent_stream,
      state::MakeRecord(state::RecordKind::kIntentRecorded, node_.self(),
                        intent),
      std::min(open->deadline - kRecordMargin, now + kRecordTimeout),
      [this, open, done = std::move(done)](const state::ApplyResult& result) {
        HandleRecordResult(open, result, done);
      });
}

auto IntentRecorder::HandleRecordResult(
    const std::shared_ptr<OpenRequest>& open,
    const state::ApplyResult& result,
    const Done& done) -> void {
  if (result.accepted) {
    done({IntentDecision::Kind::kMayRun, {}, {}});
    return;
  }
  const auto attempt = std::exchange(open->intent, "");
  if (result.reason.kind == core::ErrorKind::kConflict) {
    AwaitOutcome(open, done);
    return;
  }
  if (result.reason.kind == core::ErrorKind::kOutcomeUnknown) {
    // The intent may be in the log, but this gateway will not send the request.
    state::Intent outcome;
    outcome.account = open->account();
    outcome.key = open->key;
    outcome.gateway = node_.self();
    outcome.attempt = attempt;
    outcome.resolved = true;
    outcome.conclusion = core::NameOf(core::Conclusion::kNotRun);
    AppendOutcome(open->intent_stream, outcome);
  }
  log_down_until_ = core::MonotonicNow() + kLogDownBackoff;
  done({IntentDecision::Kind::kRefused,
        {},
        {core::ErrorKind::kLogDown, "log",
         "The log did not accept the record; the request was not sent."}});
}

auto IntentRecorder::AwaitOutcome(const std::shared_ptr<OpenRequest>& open,
                                  const Done& done) -> void {
  const auto* intent = FindIntent(*open);
  const bool resolved = intent != nullptr && intent->resolved;
  if (resolved && intent->conclusion == "not_run") {
    RecordIntent(open, done);
    return;
  }
  if (resolved) {
    done({IntentDecision::Kind::kRepeated, AnswerOf(*intent), {}});
    return;
  }
  if (core::MonotonicNow() >= open->deadline - kRecordMargin) {
    done({IntentDecision::Kind::kRefused,
          {},
          {core::ErrorKind::kOutcomeUnknown, "idempotency-key",
           "The request with this key has no recorded outcome yet."}});
    return;
  }
  node_.loop().After(kOutcomePoll,
                     [this, open, done] { AwaitOutcome(open, done); });
}

auto IntentRecorder::RecordOutcome(const OpenRequest& open,
                                   const net::HttpResponse& answer) -> void {
  state::Intent outcome;
  outcome.account = open.account();
  outcome.key = open.key;
  outcome.gateway = node_.self();
  outcome.attempt = open.intent;
  outcome.resolved = true;
  outcome.http_status = answer.status;
  outcome.conclusion = answer.header("x-conclusion");
  outcome.content_type = IsPrintable(answer.header("content-type"))
                             ? answer.header("content-type")
                             : "application/octet-stream";
  outcome.body_recorded = answer.body.size() <= kMaxRecordedBody;
  if (outcome.body_recorded) {
    outcome.body_base64 = core::ToBase64(answer.body);
  }
  AppendOutcome(open.intent_stream, outcome);
}

auto IntentRecorder::AppendOutcome(const std::string& stream,
                                   const state::Intent& outcome) -> void {
  ++pending_outcomes_;
  node_.writer().Append(
      stream,
      state::MakeRecord(state::RecordKind::kIntentResolved, node_.self(),
                        outcome),
      core::MonotonicNow() + kOutcomeTimeout,
      [this](const state::ApplyResult& /*result*/) { --pending_outcomes_; });
}

}  // namespace kcm::gateway
