#include "LibPlatform/http_log_client.h"

#include <utility>

namespace kcm::platform {

namespace {

constexpr core::Millis kAppendTimeout = 2000;
constexpr core::Millis kReadWait = 1000;
constexpr core::Millis kReadTimeout = 3000;
constexpr int kReadLimit = 512;
constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;

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
  // The log answers any other status only before it appends.
  return result.answer.status == kHttpOk ? AppendOutcome::kAppended
                                         : AppendOutcome::kRefused;
}

auto ToReadResult(const net::HttpResult& result) -> ReadResult {
  ReadResult read;
  if (result.exchange != net::Exchange::kAnswered) {
    return read;
  }
  const auto document = core::Json::parse(result.answer.body, nullptr, false);
  if (!document.is_object()) {
    return read;
  }
  if (result.answer.status == kHttpGone) {
    read.outcome = ReadOutcome::kExpired;
    read.earliest_offset = document.value("earliest_offset", std::int64_t{0});
    return read;
  }
  if (result.answer.status != kHttpOk) {
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
                                 core::Json{{"records", records}}.dump()};
  http_.Send(service_, request, kAppendTimeout,
             [done = std::move(done)](const net::HttpResult& result) {
               done(OutcomeOf(result));
             });
}

auto HttpLogClient::Read(const std::string& stream,
                         std::int64_t from_offset,
                         ReadDone done) -> void {
  const net::HttpRequest request{"GET",
                                 PathOf(stream),
                                 {{"from", std::to_string(from_offset)},
                                  {"limit", std::to_string(kReadLimit)},
                                  {"wait_ms", std::to_string(kReadWait)}},
                                 {},
                                 ""};
  http_.Send(service_, request, kReadTimeout,
             [done = std::move(done)](const net::HttpResult& result) {
               done(ToReadResult(result));
             });
}

}  // namespace kcm::platform
