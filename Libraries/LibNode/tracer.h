#pragma once

#include <deque>
#include <string>

#include "LibCore/address.h"
#include "LibCore/trace.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"

namespace kcm::node {

/// Where spans go and how many traces are sampled.
struct TracerSettings {
  /// Name of this process in the spans.
  std::string process;
  /// Collector of OTLP over HTTP; spans are dropped without one.
  core::Address collector;
  /// Share of the traces that start here which is sampled.
  double ratio = 0;
};

/// Sends the spans of one process to a collector, in batches.
///
/// Spans are a help, never a hindrance: the queue is bounded, and a batch
/// that the collector does not take is dropped and counted.
class Tracer {
 public:
  Tracer(net::EventLoop& loop, net::HttpClient& http, TracerSettings settings);

  /// Goes on with the caller's trace, or starts one.
  /// @param header the caller's traceparent, which may be empty.
  /// @param parent_span_id set to the caller's span.
  [[nodiscard]] auto Enter(const std::string& header,
                           std::string& parent_span_id) const
      -> core::TraceContext;

  /// Queues a finished span of a sampled trace.
  auto Record(core::Span span) -> void;

  /// @return spans that found the queue full or the collector silent.
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
