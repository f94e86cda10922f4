// Sending of attempts to minions, and handling of their results.

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibCore/identity.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"
#include "request_api.h"

namespace kcm::gateway {

namespace {

/// Maximum attempts of one request, the first one included.
constexpr int kMaxAttempts = 4;

}  // namespace

auto RequestApi::SendTo(const OpenPtr& open, const request::Route& route)
    -> void {
  const auto now = core::MonotonicNow();
  if (open->attempts++ == 0) {
    retry_budget_.RecordFirstAttempt();
  }
  open->tried_minions.insert(route.minion);
  const auto& request = open->call.request;
  platform::MinionRequest outgoing;
  outgoing.hop_id = core::MakeId("hop");
  outgoing.account = open->account();
  outgoing.idempotency_key = open->key;
  open->queue_span->End();
  const auto span = std::make_shared<node::HopSpan>(
      node_.tracer(), request.header("traceparent"), "minion");
  span->SetAttribute("minion", route.minion);
  outgoing.traceparent = span->traceparent();
  outgoing.content_type = request.header("content-type");
  outgoing.body = request.body;
  outgoing.timeout_ms = std::max<core::Millis>(route.attempt_deadline - now, 1);
  node_.metrics().Count("attempts_sent");
  ChargeLink(*open, route, outgoing.body.size());
  minions_.Send(
      watch_.AddressOf(route.minion), outgoing,
      [this, open, route, span](const platform::MinionResult& result) {
        span->End();
        HandleMinionResult(open, route, result);
      });
}

auto RequestApi::RecordMinionHealth(const request::Route& route,
                                    const platform::MinionResult& result)
    -> void {
  const auto now = core::MonotonicNow();
  if (result.leaving) {
    watch_.HandleLeavingMinion(route.minion);
  }
  switch (result.outcome) {
    case platform::MinionOutcome::kAnswered:
      router_.RecordAnswer(route, now);
      return;
    case platform::MinionOutcome::kRefused:
      router_.RecordRefusal(route, now);
      return;
    case platform::MinionOutcome::kNeverSent:
    case platform::MinionOutcome::kFailed:
      router_.RecordFailure(route, now, false);
      return;
    case platform::MinionOutcome::kUnknown:
      router_.RecordFailure(route, now, true);
      return;
  }
}

auto RequestApi::HandleMinionResult(const OpenPtr& open,
                                    const request::Route& route,
                                    const platform::MinionResult& result)
    -> void {
  RecordMinionHealth(route, result);
  ChargeLink(*open, route, result.body.size());
  switch (result.outcome) {
    case platform::MinionOutcome::kAnswered:
      Finish(open, {net::kHttpOk,
                    {{"content-type", result.content_type},
                     {"x-conclusion",
                      std::string(core::NameOf(core::Conclusion::kDone))}},
                    result.body});
      break;
    case platform::MinionOutcome::kRefused:
    case platform::MinionOutcome::kNeverSent:
      RetryOrFail(open, core::ErrorKind::kNoEndpoint);
      break;
    case platform::MinionOutcome::kFailed:
      open->worst_conclusion =
          std::max(open->worst_conclusion, core::Conclusion::kFailed);
      RetryOrFail(open, core::ErrorKind::kEndpointFailed);
      break;
    case platform::MinionOutcome::kUnknown:
      core::LogEvent(core::Event::kRequestUnknown, {{"minion", route.minion}});
      open->worst_conclusion = core::Conclusion::kUnknown;
      open->concurrency_free_at = route.latest_end;
      RetryOrFail(open, core::ErrorKind::kOutcomeUnknown);
      break;
  }
  DispatchQueue();
}

auto RequestApi::ReleaseConcurrency(OpenRequest& open) -> void {
  const auto free_at = std::exchange(open.concurrency_free_at, 0);
  if (const auto use = std::exchange(open.concurrency_unit, std::nullopt)) {
    share_exchange_.ledger().Release(*use, core::MonotonicNow(), free_at);
  }
}

auto RequestApi::RetryOrFail(const OpenPtr& open, core::ErrorKind error)
    -> void {
  const bool safe = open->idempotent || error == core::ErrorKind::kNoEndpoint;
  if (safe && open->attempts < kMaxAttempts &&
      retry_budget_.TryAcquireRetry()) {
    core::LogEvent(core::Event::kRequestRetried, {{"attempt", open->attempts}});
    node_.metrics().Count("attempts_retried");
    ReleaseConcurrency(*open);
    Enqueue(open);
    return;
  }
  Fail(open, error, "No minion that was tried answered the request.");
}

auto RequestApi::Finish(const OpenPtr& open, net::HttpResponse answer) -> void {
  ReleaseConcurrency(*open);
  const auto request_id = open->call.request.header("x-request-id");
  if (!request_id.empty()) {
    answer.headers["x-request-id"] = request_id;
  }
  if (!open->intent.empty()) {
    intents_.RecordOutcome(*open, answer);
  }
  node_.metrics().Count("requests_answered", "conclusion",
                        answer.header("x-conclusion"));
  open->call.reply.Send(answer);
  open_requests_.erase(open->id);
}

auto RequestApi::Fail(const OpenPtr& open,
                      core::ErrorKind kind,
                      const std::string& message) -> void {
  const auto* answer = &core::ErrorInfoOf(kind);
  if (answer->conclusion == core::Conclusion::kNotRun &&
      open->worst_conclusion != core::Conclusion::kNotRun) {
    // An earlier attempt may have run, even if the last one did not.
    kind = open->worst_conclusion == core::Conclusion::kFailed
               ? core::ErrorKind::kEndpointFailed
               : core::ErrorKind::kOutcomeUnknown;
    answer = &core::ErrorInfoOf(kind);
  }
  node_.metrics().Count("requests_failed", "kind", std::string(answer->name));
  Finish(open,
         {answer->http_status,
          {{"content-type", "application/json"},
           {"x-conclusion", std::string(core::NameOf(answer->conclusion))}},
          core::ToJsonText(core::ToErrorBody({kind, "", message})) + "\n"});
}

}  // namespace kcm::gateway
