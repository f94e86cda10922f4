#pragma once

#include <deque>
#include <string>

#include "LibCore/address.h"
#include "LibCore/trace.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"

namespace kcm::node {

/// Collector and sampling of traces.
struct TracerSettings {
  /// Name of this process in its spans.
  std::string process;
  /// OTLP collector over HTTP; without one, spans are discarded.
  core::Address collector;
  /// Share of the traces started here that is sampled.
  double ratio = 0;
};

/// Sends the spans of one process to a collector, in batches.
///
/// Tracing never blocks the process: the queue is bounded, and a batch that the
/// collector does not accept is dropped and counted.
class Tracer {
 public:
  Tracer(net::EventLoop& loop, net::HttpClient& http, TracerSettings settings);

  /// Continues the caller's trace, or starts one.
  /// @param header the caller's traceparent, which may be empty.
  /// @param parent_span_id set to the caller's span; cleared without one.
  [[nodiscard]] auto ContinueTrace(const std::string& header,
                                   std::string& parent_span_id) const
      -> core::TraceContext;

  /// Queues a finished span of a sampled trace.
  auto Record(core::Span span) -> void;

  /// @return spans lost to a full queue or a failed export.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  auto Flush() -> void;

  net::HttpClient& http_;
  TracerSettings settings_;
  std::deque<core::Span> queue_;
  bool in_flight_ = false;
  std::uint64_t dropped_ = 0;
};

}  // namespace kcm::node
