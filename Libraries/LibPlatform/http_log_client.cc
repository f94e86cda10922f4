#include "LibPlatform/http_log_client.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

#include <utility>

namespace kcm::platform {

namespace {

constexpr core::Millis kAppendTimeoutMs = 2000;
/// Time for the answer of a read in addition to its requested wait.
constexpr core::Millis kReadGraceMs = 500;
constexpr int kMaxRecordsPerRead = 512;

auto PathOf(const std::string& stream) -> std::string {
  return "/v1/streams/" + stream + "/records";
}

auto OutcomeOf(const net::HttpResult& result) -> AppendOutcome {
  switch (result.exchange) {
    case net::Exchange::kNeverSent:
      return AppendOutcome::kRefused;
    case net::Exchange::kBroken:
      return AppendOutcome::kUnknown;
    case net::Exchange::kAnswered:
      break;
  }
  // The log sends any other status only if it appended nothing.
  switch (result.response.status) {
    case net::kHttpOk:
      return AppendOutcome::kAppended;
    case net::kHttpTooManyRequests:
      return AppendOutcome::kThrottled;
    default:
      return AppendOutcome::kRefused;
  }
}

auto ToReadResult(const net::HttpResult& result) -> ReadResult {
  ReadResult read;
  if (result.exchange != net::Exchange::kAnswered) {
    return read;
  }
  const auto document =
      core::ParseJson(result.response.body, core::kOwnDocument);
  if (!document.is_object()) {
    return read;
  }
  if (result.response.status == net::kHttpGone) {
    read.outcome = ReadOutcome::kExpired;
    read.earliest_offset = document.value("earliest_offset", std::int64_t{0});
    return read;
  }
  if (result.response.status != net::kHttpOk) {
    return read;
  }
  read.outcome = ReadOutcome::kRead;
  read.first_offset = document.value("first_offset", std::int64_t{0});
  read.records = document.value("records", std::vector<core::Json>{});
  return read;
}

}  // namespace

auto HttpLogClient::Append(const std::string& stream,
                           const std::vector<core::Json>& records,
                           AppendDone done) -> void {
  const net::HttpRequest request{"POST",
                                 PathOf(stream),
                                 {},
                                 {{"content-type", "application/json"}},
                                 core::ToJsonText({{"records", records}})};
  http_.Send(service_, request, kAppendTimeoutMs,
             [done = std::move(done)](const net::HttpResult& result) {
               done(OutcomeOf(result));
             });
}

auto HttpLogClient::Read(const std::string& stream,
                         std::int64_t from_offset,
                         core::Millis wait,
                         ReadDone done) -> void {
  const net::HttpRequest request{"GET",
                                 PathOf(stream),
                                 {{"from", std::to_string(from_offset)},
                                  {"limit", std::to_string(kMaxRecordsPerRead)},
                                  {"wait_ms", std::to_string(wait)}},
                                 {},
                                 ""};
  http_.Send(service_, request, wait + kReadGraceMs,
             [done = std::move(done)](const net::HttpResult& result) {
               done(ToReadResult(result));
             });
}

}  // namespace kcm::platform
