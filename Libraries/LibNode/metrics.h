#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::node {

/// The metrics of one process, served as text at GET /metrics.
///
/// Names are given without the prefix "kcm_" and, for counters, without the
/// suffix "_total". A family keeps a bounded number of series; values beyond
/// that share the series "other".
class Metrics {
 public:
  using Sampler = std::function<void()>;

  /// Starts to serve.
  /// @return the metrics, or nothing with `reason` naming the address.
  [[nodiscard]] static auto create(net::EventLoop& loop,
                                   const core::Address& address,
                                   core::Reason& reason)
      -> std::unique_ptr<Metrics>;

  /// Counts `increment` more of `name`, with at most one bounded label.
  auto Count(const std::string& name,
             const std::string& label = "",
             const std::string& value = "",
             double increment = 1) -> void;

  /// Raises a counter to a total that is kept elsewhere and never falls.
  auto SetTotal(const std::string& name,
                double total,
                const std::string& label = "",
                const std::string& value = "") -> void;

  /// Sets a gauge.
  auto Set(const std::string& name,
           double number,
           const std::string& label = "",
           const std::string& value = "") -> void;

  /// Counts one span in the histogram `name` + "_ms".
  auto Observe(const std::string& name, core::Millis span) -> void;

  /// Calls `sampler` before each scrape, to set what is cheap to read and
  /// costly to keep.
  auto OnScrape(Sampler sampler) -> void;

 private:
  /// One family with its series by label value.
  template <typename Series>
  struct Family {
    prometheus::Family<Series>* family = nullptr;
    std::map<std::string, Series*> series;
  };

  Metrics() = default;

  template <typename Series>
  auto Find(Family<Series>& family,
            const std::string& label,
            const std::string& value) -> Series&;
  auto CounterOf(const std::string& name,
                 const std::string& label,
                 const std::string& value) -> prometheus::Counter&;
  auto Serialize() -> std::string;

  prometheus::Registry registry_;
  std::map<std::string, Family<prometheus::Counter>> counters_;
  std::map<std::string, Family<prometheus::Gauge>> gauges_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::vector<Sampler> samplers_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace kcm::node
