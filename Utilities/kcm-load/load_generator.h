#pragma once

#include <chrono>
#include <random>

#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "load_report.h"
#include "load_settings.h"

namespace kcm::load {

/// Sends requests at times fixed in advance, whether or not earlier ones were
/// answered, and measures each from its intended time. A slow system can thus
/// not slow the load down and hide its own latency.
class LoadGenerator {
 public:
  LoadGenerator(net::EventLoop& loop, LoadSettings settings);

  /// Runs the whole load.
  auto Run() -> LoadReport;

 private:
  using Clock = std::chrono::steady_clock;

  struct Arrival {
    std::int64_t number = 0;
    Clock::time_point intended;
    core::Millis deadline_ms = 0;
    std::size_t target = 0;
    std::size_t targets_tried = 0;
  };

  auto SendDue() -> void;
  auto Send(const Arrival& arrival) -> void;
  auto OnResult(const Arrival& arrival, const net::HttpResult& result) -> void;
  auto PlanNext() -> void;

  net::EventLoop& loop_;
  net::HttpClient http_;
  LoadSettings settings_;
  std::mt19937_64 random_;
  Clock::time_point end_;
  Arrival next_;
  std::int64_t open_ = 0;
  bool all_sent_ = false;
  LoadReport report_;
};

}  // namespace kcm::load
