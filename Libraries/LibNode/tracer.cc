#include "LibNode/tracer.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kcm::node {

namespace {

constexpr core::Millis kFlushPeriodMs = 250;
constexpr core::Millis kCollectorTimeoutMs = 2000;
constexpr std::size_t kMaxQueuedSpans = 4096;
constexpr std::size_t kMaxSpansPerBatch = 512;

}  // namespace

Tracer::Tracer(net::EventLoop& loop,
               net::HttpClient& http,
               TracerSettings settings)
    : http_(http), settings_(std::move(settings)) {
  if (settings_.collector.port != 0) {
    loop.Every(kFlushPeriodMs, [this] { Flush(); });
  }
}

auto Tracer::ContinueTrace(const std::string& header,
                           std::string& parent_span_id) const
    -> core::TraceContext {
  if (const auto parent = core::ParseTraceparent(header)) {
    parent_span_id = parent->span_id;
    return core::ChildOf(*parent);
  }
  parent_span_id.clear();
  return core::NewTrace(settings_.ratio);
}

auto Tracer::Record(core::Span span) -> void {
  if (!span.context.sampled || settings_.collector.port == 0) {
    return;
  }
  if (queue_.size() >= kMaxQueuedSpans) {
    ++dropped_;
    return;
  }
  queue_.push_back(std::move(span));
}

auto Tracer::Flush() -> void {
  if (queue_.empty() || in_flight_) {
    return;
  }
  const auto count = std::min(queue_.size(), kMaxSpansPerBatch);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<core::Span> batch(queue_.begin(), end);
  queue_.erase(queue_.begin(), end);
  in_flight_ = true;
  const net::HttpRequest request{
      "POST",
      "/v1/traces",
      {},
      {{"content-type", "application/json"}},
      core::ToJsonText(core::ToOtlp(settings_.process, batch))};
  http_.Send(settings_.collector, request, kCollectorTimeoutMs,
             [this, count](const net::HttpResult& result) {
               in_flight_ = false;
               if (result.exchange != net::Exchange::kAnswered ||
                   result.response.status != net::kHttpOk) {
                 dropped_ += count;
               }
             });
}

}  // namespace kcm::node
