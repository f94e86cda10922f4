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
/// No call is held for longer, whatever its caller states.
constexpr Millis kMaxTimeoutMs = 60000;
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
    RefusalRow{ErrorKind::kBadInput,
               "The job has too many steps, or too long ones, to be stored.",
               0},
    // Some jobs end within seconds.
    RefusalRow{ErrorKind::kOverLimit,
               "The accepted jobs take all memory that is for them, or for "
               "those of this account; the job was not taken.",
               2000},
    RefusalRow{ErrorKind::kQueueFull,
               "Too many jobs are being taken; this one was not taken.", 1000},
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
  // The routes are read within a moment.
  answer.retry_after_ms = reason.kind == ErrorKind::kNoEndpoint ? 1000 : 0;
  answer.reason = std::move(reason);
  return answer;
}

auto TimeoutOf(const ClientCall& call) -> Millis {
  return call.timeout_ms > 0 ? std::min(call.timeout_ms, kMaxTimeoutMs)
                             : kDefaultTimeoutMs;
}

}  // namespace

auto ClientRequestHandler::Admit(const ClientCall& call,
                                 core::Reason& reason) const
    -> std::optional<Admitted> {
  Admitted admitted;
  admitted.route = routes_.FindRoute(call.host, call.path);
  if (admitted.route == nullptr) {
    return reason.Fail(ErrorKind::kNotFound, "path", "There is no such queue.");
  }
  if (call.token.empty()) {
    if (!admitted.route->is_public) {
      return reason.Fail(ErrorKind::kBadToken, "", "The call has no token.");
    }
  } else if (const auto account = routes_.accounts.find(call.token);
             account != routes_.accounts.end()) {
    admitted.account = account->second;
  } else {
    return reason.Fail(ErrorKind::kBadToken, "", "The token is not known.");
  }
  admitted.job = call.path.substr(admitted.route->path_prefix.size());
  const auto is_submission = call.verb == ClientVerb::kSubmit;
  const auto is_about_queue =
      admitted.job.empty() && call.verb == ClientVerb::kRead;
  if (!is_about_queue && !is_job_id_(admitted.job)) {
    return reason.Fail(is_submission ? ErrorKind::kBadInput : ErrorKind::kGone,
                       "job", "The path ends with no job id.");
  }
  if (is_submission &&
      static_cast<std::int64_t>(call.body.size()) > routes_.max_body_bytes) {
    return reason.Fail(ErrorKind::kBadInput, "body", "The body is too long.");
  }
  return admitted;
}

auto ClientRequestHandler::MakeRequest(const ClientCall& call,
                                       const Admitted& admitted,
                                       core::Reason& reason) const
    -> std::optional<HolderRequest> {
  HolderRequest request;
  request.verb = *VerbOf(call.verb);
  request.job = admitted.job;
  request.caller = {admitted.route->queue, admitted.account,
                    admitted.route->is_public};
  request.routes_version = routes_.version;
  if (request.verb != JobVerb::kSubmit) {
    return request;
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

auto ClientRequestHandler::HandleCall(const ClientCall& call, const Done& done)
    -> void {
  const auto started_at = core::SuspendAwareNow();
  core::Reason reason;
  if (!VerbOf(call.verb)) {
    reason = {ErrorKind::kBadInput, "method",
              "The method is none of POST, GET and DELETE."};
    Finish(call, "", started_at, Refusal(reason), done);
    return;
  }
  if (routes_.version == 0) {
    reason = {ErrorKind::kNoEndpoint, "",
              "No configuration has been read yet."};
    Finish(call, "", started_at, Refusal(reason), done);
    return;
  }
  const auto admitted = Admit(call, reason);
  if (admitted && !confirmation_.IsDoubtful()) {
    Serve(call, *admitted, started_at, done);
    return;
  }
  JudgeOnceConfirmed(call, started_at, done);
}

auto ClientRequestHandler::JudgeOnceConfirmed(const ClientCall& call,
                                              Millis started_at,
                                              const Done& done) -> void {
  const auto max_wait =
      std::max(TimeoutOf(call) - kAnswerReserveMs, kAnswerReserveMs);
  confirmation_.Await(max_wait, [this, call, started_at,
                                 done](bool is_confirmed) {
    core::Reason reason;
    if (const auto admitted = Admit(call, reason)) {
      Serve(call, *admitted, started_at, done);
      return;
    }
    if (!is_confirmed) {
      reason = {ErrorKind::kNoEndpoint, reason.field,
                "Whether the configuration here is the newest is not known; "
                "the request was not taken."};
    }
    Finish(call, "", started_at, Refusal(reason), done);
  });
}

auto ClientRequestHandler::Serve(const ClientCall& call,
                                 const Admitted& admitted,
                                 Millis started_at,
                                 const Done& done) -> void {
  if (admitted.job.empty()) {
    AnswerPending(admitted, done);
    return;
  }
  core::Reason reason;
  const auto request = MakeRequest(call, admitted, reason);
  if (!request) {
    Finish(call, admitted.job, started_at, Refusal(reason), done);
    return;
  }
  const auto timeout = TimeoutOf(call);
  const auto wait = request->verb == JobVerb::kSubmit
                        ? static_cast<Millis>(kSubmitTimeoutFraction *
                                              static_cast<double>(timeout))
                        : timeout - kAnswerReserveMs;
  holder_.SendRequest(
      *request, started_at + std::max(wait, kAnswerReserveMs), false,
      [this, call, started_at, verb = request->verb, job = request->job,
       done](const HolderAnswer& holder_answer) {
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
    core::Json fields = {{"job", job},
                         {"path", call.path},
                         {"verb", core::NameOf(call.verb)},
                         {"end", error},
                         {"routes_version", routes_.version},
                         {"took_ms", took},
                         {"retry_after_ms", answer.retry_after_ms}};
    if (const auto age = confirmation_.AgeMs()) {
      fields["routes_age_ms"] = *age;
    }
    core::LogEvent(
        is_ok ? core::Event::kCallAnswered : core::Event::kCallRefused, fields);
  }
  done(std::move(answer));
}

}  // namespace kcm::entry
