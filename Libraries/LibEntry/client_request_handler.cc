#include "LibEntry/client_request_handler.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibCore/event.h"

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

/// Part of a caller's timeout reserved for sending the answer.
constexpr Millis kAnswerReserveMs = 100;
constexpr Millis kDefaultTimeoutMs = 3000;
/// Fraction of a caller's timeout after which a submission is answered, if need
/// be as outcome unknown, so that the caller can retry at another process.
constexpr double kSubmitTimeoutFraction = 0.45;

/// Message and retry delay for one kind of error.
struct RefusalRow {
  ErrorKind kind;
  const char* message;
  Millis retry_after_ms;
};

constexpr std::array kRefusals = {
    // A lost holder is replaced within about a second.
    RefusalRow{ErrorKind::kNoEndpoint,
               "No scheduler can be reached now; the request was not taken.",
               1000},
    // The store's outages last seconds.
    RefusalRow{ErrorKind::kLogDown,
               "The store is away; the request was not taken.", 1000},
    RefusalRow{ErrorKind::kDraining,
               "This scheduler is leaving; the request was not taken.", 1000},
    RefusalRow{ErrorKind::kOutcomeUnknown,
               "Whether the request was taken is not known; send it again.", 0},
    RefusalRow{ErrorKind::kGone, "There is no such job.", 0},
    RefusalRow{ErrorKind::kConflict, "The id is that of another job.", 0},
};

auto VerbOf(ClientVerb verb) -> std::optional<JobVerb> {
  switch (verb) {
    case ClientVerb::kSubmit:
      return JobVerb::kSubmit;
    case ClientVerb::kRead:
      return JobVerb::kRead;
    case ClientVerb::kCancel:
      return JobVerb::kCancel;
    case ClientVerb::kOther:
      break;
  }
  return std::nullopt;
}

auto AnswerFor(JobVerb verb, const HolderAnswer& holder_answer)
    -> ClientAnswer {
  ClientAnswer answer;
  answer.reason.kind = holder_answer.error;
  if (holder_answer.error == ErrorKind::kNone) {
    answer.phase = holder_answer.phase;
    answer.content = verb == JobVerb::kRead ? ClientAnswer::Content::kPhase
                                            : ClientAnswer::Content::kNothing;
    return answer;
  }
  for (const auto& row : kRefusals) {
    if (row.kind == holder_answer.error) {
      answer.reason.message = row.message;
      answer.retry_after_ms = row.retry_after_ms;
    }
  }
  return answer;
}

auto Refusal(core::Reason reason) -> ClientAnswer {
  ClientAnswer answer;
  answer.reason = std::move(reason);
  return answer;
}

}  // namespace

auto ClientRequestHandler::Admit(const ClientCall& call,
                                 core::Reason& reason) const
    -> std::optional<Admitted> {
  if (routes_.version == 0) {
    return reason.Fail(ErrorKind::kNoEndpoint, "",
                       "No configuration has been read yet.");
  }
  Admitted admitted;
  admitted.route = routes_.FindRoute(call.host, call.path);
  if (admitted.route == nullptr) {
    return reason.Fail(ErrorKind::kNotFound, "path", "There is no such queue.");
  }
  const auto account = routes_.accounts.find(call.token);
  if (account != routes_.accounts.end()) {
    admitted.account = account->second;
  } else if (!admitted.route->is_public) {
    return reason.Fail(ErrorKind::kBadToken, "", "The token is not known.");
  }
  admitted.job = call.path.substr(admitted.route->path_prefix.size());
  return admitted;
}

auto ClientRequestHandler::MakeRequest(const ClientCall& call,
                                       const Admitted& admitted,
                                       core::Reason& reason) const
    -> std::optional<HolderRequest> {
  const auto verb = VerbOf(call.verb);
  if (!verb) {
    return reason.Fail(ErrorKind::kBadInput, "method",
                       "The method is none of POST, GET and DELETE.");
  }
  if (!is_job_id_(admitted.job)) {
    return reason.Fail(
        *verb == JobVerb::kSubmit ? ErrorKind::kBadInput : ErrorKind::kGone,
        "job", "The path ends with no job id.");
  }
  HolderRequest request;
  request.verb = *verb;
  request.job = admitted.job;
  request.caller = {admitted.route->queue, admitted.account,
                    admitted.route->is_public};
  if (*verb != JobVerb::kSubmit) {
    return request;
  }
  if (static_cast<std::int64_t>(call.body.size()) > routes_.max_body_bytes) {
    return reason.Fail(ErrorKind::kBadInput, "body", "The body is too long.");
  }
  auto spec = read_job_(call.body, reason);
  if (!spec) {
    return std::nullopt;
  }
  request.spec = std::move(*spec);
  request.spec.id = admitted.job;
  request.spec.queue = admitted.route->queue;
  request.spec.account = admitted.account;
  request.spec.policy = admitted.route->policy;
  return request;
}

auto ClientRequestHandler::AnswerPending(const Admitted& admitted,
                                         const Done& done) const -> void {
  ClientAnswer answer;
  if (const auto pending = pending_jobs_(admitted.route->queue)) {
    answer.content = ClientAnswer::Content::kPending;
    answer.pending = *pending;
  } else {
    answer = AnswerFor(JobVerb::kRead, {ErrorKind::kNoEndpoint, {}, true});
  }
  done(answer);
}

auto ClientRequestHandler::HandleCall(const ClientCall& call, Done done)
    -> void {
  const auto started_at = core::SuspendAwareNow();
  core::Reason reason;
  const auto admitted = Admit(call, reason);
  if (!admitted) {
    auto answer = Refusal(reason);
    answer.retry_after_ms = reason.kind == ErrorKind::kNoEndpoint ? 1000 : 0;
    Finish(call, "", started_at, std::move(answer), done);
    return;
  }
  if (admitted->job.empty() && call.verb == ClientVerb::kRead) {
    AnswerPending(*admitted, done);
    return;
  }
  auto request = MakeRequest(call, *admitted, reason);
  if (!request) {
    Finish(call, admitted->job, started_at, Refusal(reason), done);
    return;
  }
  const auto timeout =
      call.timeout_ms > 0 ? call.timeout_ms : kDefaultTimeoutMs;
  const auto wait = request->verb == JobVerb::kSubmit
                        ? static_cast<Millis>(kSubmitTimeoutFraction *
                                              static_cast<double>(timeout))
                        : timeout - kAnswerReserveMs;
  holder_.SendRequest(
      *request, started_at + std::max(wait, kAnswerReserveMs), false,
      [this, call, started_at, verb = request->verb, job = request->job,
       done = std::move(done)](const HolderAnswer& holder_answer) {
        Finish(call, job, started_at, AnswerFor(verb, holder_answer), done);
      });
}

auto ClientRequestHandler::Finish(const ClientCall& call,
                                  const std::string& job,
                                  Millis started_at,
                                  ClientAnswer answer,
                                  const Done& done) const -> void {
  const auto took = core::SuspendAwareNow() - started_at;
  const auto error = core::ErrorInfoOf(answer.reason.kind).name;
  metrics_.Count("client_calls", "end", std::string(error));
  metrics_.Observe("client_call", took);
  const auto is_ok = answer.reason.kind == ErrorKind::kNone;
  if (!is_ok || call.verb != ClientVerb::kRead) {
    core::LogEvent(
        is_ok ? core::Event::kCallAnswered : core::Event::kCallRefused,
        {{"job", job},
         {"path", call.path},
         {"verb", core::NameOf(call.verb)},
         {"end", error},
         {"routes_version", routes_.version},
         {"took_ms", took},
         {"retry_after_ms", answer.retry_after_ms}});
  }
  done(std::move(answer));
}

}  // namespace kcm::entry
