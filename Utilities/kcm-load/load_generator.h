#pragma once

#include <chrono>
#include <random>

#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "load_report.h"
#include "load_settings.h"

namespace kcm::load {

/// Open-loop load generator: sends requests at precomputed times, whatever was
/// answered, and measures latency from the intended send time. A slow system
/// can thus not reduce the load and hide its latency.
class LoadGenerator {
 public:
  LoadGenerator(net::EventLoop& loop, LoadSettings settings);

  /// Sends all requests and waits for their responses.
  auto Run() -> LoadReport;

 private:
  using Clock = std::chrono::steady_clock;

  struct ScheduledRequest {
    std::int64_t number = 0;
    Clock::time_point intended;
    core::Millis deadline_ms = 0;
    std::size_t target = 0;
    std::size_t targets_tried = 0;
  };

  auto SendDueRequests() -> void;
  auto SendRequest(const ScheduledRequest& scheduled) -> void;
  auto HandleResult(const ScheduledRequest& scheduled,
                    const net::HttpResult& result) -> void;
  auto ScheduleNext() -> void;

  net::EventLoop& loop_;
  net::HttpClient http_;
  LoadSettings settings_;
  std::mt19937_64 random_;
  Clock::time_point end_;
  ScheduledRequest next_;
  std::int64_t open_requests_ = 0;
  bool all_sent_ = false;
  LoadReport report_;
};

}  // namespace kcm::load
