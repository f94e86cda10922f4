#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/json.h"

namespace kcm::core {

/// A span and its trace, as passed between processes (W3C Trace Context).
struct TraceContext {
  /// 32 hexadecimal digits, equal in all spans of one trace.
  std::string trace_id;
  /// 16 hexadecimal digits.
  std::string span_id;
  bool sampled = false;
};

/// Parses a traceparent header.
/// @return the context, or nothing for a header that is not valid version 00.
[[nodiscard]] auto ParseTraceparent(std::string_view header)
    -> std::optional<TraceContext>;

/// Formats a traceparent header of version 00.
[[nodiscard]] auto ToTraceparent(const TraceContext& context) -> std::string;

/// Starts a child span of `parent`.
/// @return the parent's trace with a new span id.
[[nodiscard]] auto ChildOf(const TraceContext& parent) -> TraceContext;

/// Starts a trace.
/// @param ratio fraction of traces to sample, 0 to 1.
[[nodiscard]] auto NewTrace(double ratio) -> TraceContext;

/// One finished span.
struct Span {
  TraceContext context;
  /// Empty for the first span of a trace.
  std::string parent_span_id;
  std::string name;
  /// Nanoseconds since the Unix epoch.
  std::int64_t start_ns = 0;
  std::int64_t end_ns = 0;
  /// Values by attribute name, all of them strings.
  Json attributes = Json::object();
};

/// @return nanoseconds since the Unix epoch.
[[nodiscard]] auto WallNowNs() -> std::int64_t;

/// Encodes spans as an OTLP/JSON export request.
/// @param process becomes the attribute service.name.
[[nodiscard]] auto ToOtlp(const std::string& process,
                          std::span<const Span> spans) -> Json;

}  // namespace kcm::core
