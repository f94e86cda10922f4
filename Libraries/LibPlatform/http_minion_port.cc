#include "LibPlatform/http_minion_port.h"
#include "LibNet/http_status.h"

#include <utility>

namespace kcm::platform {

namespace {

auto ToResult(const net::HttpResult& result, const std::string& hop_id)
    -> MinionResult {
  MinionResult outcome;
  if (result.exchange == net::Exchange::kNeverSent) {
    outcome.outcome = MinionOutcome::kNeverSent;
    return outcome;
  }
  // An answer without this id belongs to another exchange and proves nothing.
  if (result.exchange == net::Exchange::kBroken ||
      result.response.header("x-request-id") != hop_id) {
    return outcome;
  }
  const auto& answer = result.response;
  outcome.leaving = answer.header("x-leaving") == "true";
  outcome.status = answer.status;
  outcome.content_type = answer.header("content-type");
  outcome.body = answer.body;
  if (answer.status == net::kHttpOk) {
    outcome.outcome = MinionOutcome::kAnswered;
  } else if (answer.status == net::kHttpServiceUnavailable &&
             !answer.header("x-refused").empty()) {
    outcome.outcome = MinionOutcome::kRefused;
  } else {
    outcome.outcome = MinionOutcome::kFailed;
  }
  return outcome;
}

}  // namespace

auto HttpMinionPort::Send(const core::Address& minion,
                          const MinionRequest& request,
                          Done done) -> void {
  net::HttpRequest outgoing{
      "POST",
      "/v1/run",
      {},
      {{"x-request-id", request.hop_id},
       {"x-account", request.account},
       {"x-deadline-ms", std::to_string(request.timeout_ms)},
       {"content-type", request.content_type}},
      request.body};
  if (!request.idempotency_key.empty()) {
    outgoing.headers["idempotency-key"] = request.idempotency_key;
  }
  if (!request.traceparent.empty()) {
    outgoing.headers["traceparent"] = request.traceparent;
  }
  http_.Send(
      minion, outgoing, request.timeout_ms,
      [hop_id = request.hop_id, done = std::move(done)](
          const net::HttpResult& result) { done(ToResult(result, hop_id)); });
}

}  // namespace kcm::platform
