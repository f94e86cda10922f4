#include "LibPlatform/http_worker_port.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

#include <utility>

namespace kcm::platform {

namespace {

constexpr core::Millis kWorkerTimeoutMs = 1000;

auto CommandOutcomeOf(const net::HttpResult& result) -> CommandOutcome {
  switch (result.exchange) {
    case net::Exchange::kNeverSent:
      return CommandOutcome::kNeverSent;
    case net::Exchange::kBroken:
      return CommandOutcome::kUnknown;
    case net::Exchange::kAnswered:
      break;
  }
  return result.response.status == net::kHttpOk ? CommandOutcome::kDone
                                                : CommandOutcome::kRefused;
}

auto ToReports(const net::HttpResult& result) -> RenewResult {
  if (result.exchange != net::Exchange::kAnswered ||
      result.response.status != net::kHttpOk) {
    return std::nullopt;
  }
  const auto document = core::ParseJson(result.response.body);
  if (!document.is_object() || !document.contains("leases")) {
    return std::nullopt;
  }
  return document.at("leases").get<std::map<std::string, LeaseReport>>();
}

}  // namespace

auto HttpWorkerPort::Post(const core::Address& worker,
                          const std::string& path,
                          const core::Json& body,
                          net::HttpClient::Done done) -> void {
  const net::HttpRequest request{"POST",
                                 path,
                                 {},
                                 {{"content-type", "application/json"}},
                                 core::ToJsonText(body)};
  http_.Send(worker, request, kWorkerTimeoutMs, std::move(done));
}

auto HttpWorkerPort::Acquire(const core::Address& worker,
                             const LeaseRequest& request,
                             CommandDone done) -> void {
  Post(worker, "/v1/leases", request,
       [done = std::move(done)](const net::HttpResult& result) {
         done(CommandOutcomeOf(result));
       });
}

auto HttpWorkerPort::Command(const core::Address& worker,
                             const std::string& lease,
                             std::int64_t term,
                             LeaseCommand command,
                             const core::Json& task,
                             CommandDone done) -> void {
  const auto path =
      "/v1/leases/" + lease + "/" + std::string(core::NameOf(command));
  Post(worker, path, {{"term", term}, {"task", task}},
       [done = std::move(done)](const net::HttpResult& result) {
         done(CommandOutcomeOf(result));
       });
}

auto HttpWorkerPort::Renew(const core::Address& worker,
                           std::int64_t term,
                           const std::vector<std::string>& leases,
                           core::Millis ttl,
                           RenewDone done) -> void {
  Post(worker, "/v1/renew",
       {{"term", term}, {"leases", leases}, {"ttl_ms", ttl}},
       [done = std::move(done)](const net::HttpResult& result) {
         done(ToReports(result));
       });
}

}  // namespace kcm::platform
