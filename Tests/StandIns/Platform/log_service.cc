#include "log_service.h"

#include <algorithm>
#include <utility>

#include "../Common/run_standin.h"
#include "LibNet/http_status.h"

namespace kcm::standin {

namespace {

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";

}  // namespace

auto LogService::HandleRequest(const net::HttpRequest& request,
                               const net::HttpReply& reply) -> void {
  if (faults_.down) {
    reply.SendJson(net::kHttpServiceUnavailable, {{"error", "down"}});
    return;
  }
  const auto name = request.path.substr(
      kPrefix.size(), request.path.size() - kPrefix.size() - kSuffix.size());
  const auto handle = [this, name, request, reply] {
    if (request.method == "POST") {
      AppendRecords(streams_[name], request, reply);
    } else {
      ReadRecords(name, request, reply);
    }
  };
  if (faults_.delay_ms > 0) {
    loop_.After(faults_.delay_ms, handle);
  } else {
    handle();
  }
}

auto LogService::ExceedsAppendRate() -> bool {
  constexpr core::Millis kWindow = 1000;
  const auto now = core::MonotonicNow();
  if (now - window_start_ >= kWindow) {
    window_start_ = now;
    window_appends_ = 0;
  }
  return faults_.appends_per_s > 0 && ++window_appends_ > faults_.appends_per_s;
}

auto LogService::AppendRecords(Stream& stream,
                               const net::HttpRequest& request,
                               const net::HttpReply& reply) -> void {
  if (ExceedsAppendRate()) {
    reply.SendJson(net::kHttpTooManyRequests, {{"error", "append rate"}});
    return;
  }
  const auto body = ParseBody(request);
  const auto first =
      stream.first_offset + static_cast<std::int64_t>(stream.records.size());
  for (const auto& record : body.value("records", core::Json::array())) {
    stream.records.push_back(record);
  }
  ++stream.appends;
  while (faults_.retention > 0 && stream.records.size() > faults_.retention) {
    stream.records.pop_front();
    ++stream.first_offset;
  }
  AnswerWaitingReads(stream);
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    // The records are stored, but the writer times out.
    constexpr core::Millis kWithheldTime = 60000;
    loop_.After(kWithheldTime,
                [reply] { reply.SendJson(net::kHttpServiceUnavailable, {}); });
    return;
  }
  reply.SendJson(net::kHttpOk, {{"first_offset", first}});
}

auto LogService::SendRecords(const Stream& stream,
                             std::int64_t from,
                             std::size_t limit,
                             const net::HttpReply& reply) const -> void {
  if (from < stream.first_offset) {
    reply.SendJson(net::kHttpGone, {{"earliest_offset", stream.first_offset}});
    return;
  }
  core::Json records = core::Json::array();
  const auto skip = static_cast<std::size_t>(from - stream.first_offset);
  for (auto i = skip; i < std::min(stream.records.size(), skip + limit); ++i) {
    records.push_back(stream.records[i]);
  }
  reply.SendJson(net::kHttpOk, {{"first_offset", from}, {"records", records}});
}

auto LogService::ReadRecords(const std::string& name,
                             const net::HttpRequest& request,
                             const net::HttpReply& reply) -> void {
  auto& stream = streams_[name];
  ++stream.reads;
  const auto from = std::stoll(request.argument("from", "0"));
  const auto limit =
      static_cast<std::size_t>(std::stoul(request.argument("limit", "100")));
  const core::Millis wait = std::stoll(request.argument("wait_ms", "0"));
  const auto end =
      stream.first_offset + static_cast<std::int64_t>(stream.records.size());
  if (from < end || wait <= 0) {
    SendRecords(stream, from, limit, reply);
    return;
  }
  const auto id = next_read_id_++;
  stream.waiting_reads.push_back({from, limit, reply, id});
  loop_.After(wait, [this, name, id] {
    auto& waiting_reads = streams_[name].waiting_reads;
    const auto found =
        std::find_if(waiting_reads.begin(), waiting_reads.end(),
                     [id](const WaitingRead& read) { return read.id == id; });
    if (found != waiting_reads.end()) {
      const auto read = *found;
      waiting_reads.erase(found);
      SendRecords(streams_[name], read.from, read.limit, read.reply);
    }
  });
}

auto LogService::AnswerWaitingReads(Stream& stream) -> void {
  for (const auto& read : std::exchange(stream.waiting_reads, {})) {
    SendRecords(stream, read.from, read.limit, read.reply);
  }
}

auto LogService::SetFaults(const core::Json& settings) -> void {
  faults_.down = settings.value("down", faults_.down);
  faults_.lose_answers = settings.value("lose_answers", faults_.lose_answers);
  faults_.delay_ms = settings.value("delay_ms", faults_.delay_ms);
  faults_.retention = settings.value("retention", faults_.retention);
  faults_.appends_per_s =
      settings.value("appends_per_s", faults_.appends_per_s);
  if (faults_.down) {
    for (auto& [name, stream] : streams_) {
      for (const auto& read : std::exchange(stream.waiting_reads, {})) {
        read.reply.SendJson(net::kHttpServiceUnavailable, {{"error", "down"}});
      }
    }
  }
}

auto LogService::Counters() const -> core::Json {
  core::Json counters = core::Json::object();
  for (const auto& [name, stream] : streams_) {
    counters[name] = {
        {"appends", stream.appends},
        {"reads", stream.reads},
        {"end", stream.first_offset +
                    static_cast<std::int64_t>(stream.records.size())}};
  }
  return counters;
}

}  // namespace kcm::standin
