#include "load_report.h"

#include <algorithm>
#include <array>

namespace kcm::load {

namespace {

struct Percentile {
  const char* name;
  double fraction;
};

constexpr std::array kPercentiles = {
    Percentile{"p50_ms", 0.5}, Percentile{"p90_ms", 0.9},
    Percentile{"p99_ms", 0.99}, Percentile{"max_ms", 1}};

}  // namespace

auto LoadReport::AddRequest(const std::string& conclusion,
                            std::int64_t latency_us,
                            bool in_time) -> void {
  ++counts_[conclusion];
  if (conclusion == "done") {
    done_latencies_us_.push_back(latency_us);
    done_in_time_ += in_time ? 1 : 0;
  }
}

auto LoadReport::ToJson(double seconds) const -> core::Json {
  constexpr double kMicrosPerMilli = 1000;
  std::int64_t offered = 0;
  for (const auto& [conclusion, count] : counts_) {
    offered += count;
  }
  core::Json report = {
      {"offered", offered},
      {"counts", counts_},
      {"done_in_time", done_in_time_},
      {"goodput_per_s", static_cast<double>(done_in_time_) / seconds}};
  auto sorted = done_latencies_us_;
  std::sort(sorted.begin(), sorted.end());
  for (const auto& percentile : kPercentiles) {
    if (sorted.empty()) {
      break;
    }
    const auto index = static_cast<std::size_t>(
        percentile.fraction * static_cast<double>(sorted.size() - 1));
    report[percentile.name] =
        static_cast<double>(sorted[index]) / kMicrosPerMilli;
  }
  return report;
}

}  // namespace kcm::load
