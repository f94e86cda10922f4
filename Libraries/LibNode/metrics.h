#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/json.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::node {

/// The metrics of one process, served as text at GET /metrics, and documents of
/// its state.
///
/// Names are passed without the prefix "kcm_" and, for counters, without the
/// suffix "_total". A family has a bounded number of series; further values
/// share the series "other".
class Metrics {
 public:
  using Sampler = std::function<void()>;
  using DocumentSource = std::function<core::Json()>;

  /// Starts the metrics server.
  /// @param table connections of all servers of the process, of which the
  ///     metrics tell, too; nullptr for bounds of the metrics server alone.
  /// @return the metrics, or null with `reason` naming the address.
  [[nodiscard]] static auto create(net::EventLoop& loop,
                                   const core::Address& address,
                                   core::Reason& reason,
                                   std::shared_ptr<net::ConnectionTable> table =
                                       nullptr) -> std::unique_ptr<Metrics>;

  /// Increments the counter `name`, with at most one label.
  auto Count(const std::string& name,
             const std::string& label = "",
             const std::string& value = "",
             double increment = 1) -> void;

  /// Raises a counter to a monotonic total that is kept elsewhere.
  auto SetTotal(const std::string& name,
                double total,
                const std::string& label = "",
                const std::string& value = "") -> void;

  /// Sets a gauge.
  auto Set(const std::string& name,
           double number,
           const std::string& label = "",
           const std::string& value = "") -> void;

  /// Replaces all series of a gauge by these numbers, which are given by the
  /// value of the label.
  auto SetAll(const std::string& name,
              const std::string& label,
              const std::map<std::string, double>& numbers) -> void;

  /// Adds one duration to the histogram `name` + "_ms".
  auto Observe(const std::string& name, core::Millis duration) -> void;

  /// Calls `sampler` before each scrape, for values that are cheaper to read
  /// than to keep up to date.
  auto OnScrape(Sampler sampler) -> void;

  /// Serves the source's current document as JSON at a path of the address.
  auto ServeDocument(const std::string& path, DocumentSource source) -> void;

 private:
  /// One family with its series by label value.
  template <typename Series>
  struct Family {
    prometheus::Family<Series>* family = nullptr;
    std::map<std::string, Series*> series;
  };

  Metrics() = default;

  template <typename Series>
  auto FindSeries(Family<Series>& family,
                  const std::string& label,
                  const std::string& value) -> Series&;
  auto Reply(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;
  auto GaugeFamilyOf(const std::string& name) -> Family<prometheus::Gauge>&;
  auto CounterOf(const std::string& name,
                 const std::string& label,
                 const std::string& value) -> prometheus::Counter&;
  auto Serialize() -> std::string;
  auto SampleConnections(net::ConnectionTable& table) -> void;

  prometheus::Registry registry_;
  std::map<std::string, Family<prometheus::Counter>> counters_;
  std::map<std::string, Family<prometheus::Gauge>> gauges_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::vector<Sampler> samplers_;
  std::map<std::string, DocumentSource> documents_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace kcm::node
