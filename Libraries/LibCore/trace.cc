#include "LibCore/trace.h"

#include <algorithm>
#include <chrono>

#include "LibCore/identity.h"

namespace kcm::core {

namespace {

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kHeaderLength = 55;
constexpr std::size_t kSpanOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr int kHexBase = 16;
/// SPAN_KIND_INTERNAL: neither the server nor the client of a call.
constexpr int kSpanKindInternal = 1;

auto IsHex(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(), [](char digit) {
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
  });
}

auto IsZero(std::string_view text) -> bool {
  return text.find_first_not_of('0') == std::string_view::npos;
}

/// @return `digits` random hexadecimal digits.
auto RandomHex(std::size_t digits) -> std::string {
  constexpr std::string_view kPrefix = "t-";
  return MakeId("t").substr(kPrefix.size(), digits);
}

auto ToOtlpSpan(const Span& span) -> Json {
  Json attributes = Json::array();
  for (const auto& [key, value] : span.attributes.items()) {
    attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
  }
  Json document = {{"traceId", span.context.trace_id},
                   {"spanId", span.context.span_id},
                   {"name", span.name},
                   {"kind", kSpanKindInternal},
                   {"startTimeUnixNano", std::to_string(span.start_ns)},
                   {"endTimeUnixNano", std::to_string(span.end_ns)},
                   {"attributes", attributes}};
  if (!span.parent_span_id.empty()) {
    document["parentSpanId"] = span.parent_span_id;
  }
  return document;
}

}  // namespace

auto ParseTraceparent(std::string_view header) -> std::optional<TraceContext> {
  if (header.size() != kHeaderLength || !header.starts_with("00-") ||
      header[kSpanOffset - 1] != '-' || header[kFlagsOffset - 1] != '-') {
    return std::nullopt;
  }
  const auto trace_id = header.substr(3, kTraceDigits);
  const auto span_id = header.substr(kSpanOffset, kSpanDigits);
  const auto flags = header.substr(kFlagsOffset);
  if (!IsHex(trace_id) || !IsHex(span_id) || !IsHex(flags) ||
      IsZero(trace_id) || IsZero(span_id)) {
    return std::nullopt;
  }
  const bool sampled =
      (std::stoi(std::string(flags), nullptr, kHexBase) & 1) != 0;
  return TraceContext{std::string(trace_id), std::string(span_id), sampled};
}

auto ToTraceparent(const TraceContext& context) -> std::string {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

auto ChildOf(const TraceContext& parent) -> TraceContext {
  return {parent.trace_id, RandomHex(kSpanDigits), parent.sampled};
}

auto NewTrace(double ratio) -> TraceContext {
  constexpr std::size_t kSampleDigits = 8;
  constexpr double kSampleRange = 4294967296.0;
  TraceContext context{RandomHex(kTraceDigits), RandomHex(kSpanDigits), false};
  const auto drawn = static_cast<double>(
      std::stoul(context.trace_id.substr(0, kSampleDigits), nullptr, kHexBase));
  context.sampled = drawn < ratio * kSampleRange;
  return context;
}

auto WallNowNs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto ToOtlp(const std::string& process, std::span<const Span> spans) -> Json {
  Json list = Json::array();
  for (const auto& span : spans) {
    list.push_back(ToOtlpSpan(span));
  }
  const Json service = {{"key", "service.name"},
                        {"value", {{"stringValue", process}}}};
  const Json scope = {{"scope", {{"name", "kingcupmast"}}}, {"spans", list}};
  const Json resource = {{"resource", {{"attributes", Json::array({service})}}},
                         {"scopeSpans", Json::array({scope})}};
  return {{"resourceSpans", Json::array({resource})}};
}

}  // namespace kcm::core
