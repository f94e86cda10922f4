#include "LibEntry/load_reporter.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

constexpr core::Millis kReportPeriodMs = 1000;
constexpr core::Millis kMillisPerSecond = 1000;

}  // namespace

auto LoadReporter::RecordTick(core::Millis now, core::Millis period_ms)
    -> void {
  if (last_tick_at_ > 0) {
    max_lag_ms_ = std::max(max_lag_ms_, now - last_tick_at_ - period_ms);
  }
  last_tick_at_ = now;
}

auto LoadReporter::TakeReport(
    core::Millis now,
    const std::map<std::string, net::TrafficCount>& traffic)
    -> std::optional<core::Json> {
  if (now - last_report_at_ < kReportPeriodMs) {
    return std::nullopt;
  }
  const auto is_first = last_report_at_ == 0;
  const auto span = now - std::exchange(last_report_at_, now);
  const auto cpu_time = std::clock();
  const auto cpu_ms = (cpu_time - std::exchange(last_cpu_time_, cpu_time)) *
                      kMillisPerSecond / CLOCKS_PER_SEC;
  const auto before = std::exchange(last_traffic_, traffic);
  const auto lag = std::exchange(max_lag_ms_, 0);
  if (is_first) {
    // There is no earlier report that the numbers could be compared with.
    return std::nullopt;
  }
  auto kinds = core::Json::object();
  for (const auto& [kind, count] : traffic) {
    const auto found = before.find(kind);
    const auto old =
        found == before.end() ? net::TrafficCount{} : found->second;
    if (count.exchanges > old.exchanges) {
      kinds[kind] = {count.exchanges - old.exchanges,
                     count.sent_bytes - old.sent_bytes,
                     count.received_bytes - old.received_bytes};
    }
  }
  return core::Json{{"span_ms", span},
                    {"cpu_ms", cpu_ms},
                    {"lag_ms", lag},
                    {"exchanged", std::move(kinds)}};
}

}  // namespace kcm::entry
