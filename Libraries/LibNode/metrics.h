#pragma once

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::node {

/// The metrics of one process, served as text at GET /metrics.
class Metrics {
 public:
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

  /// Sets a gauge.
  auto Set(const std::string& name,
           double number,
           const std::string& label = "",
           const std::string& value = "") -> void;

 private:
  Metrics() = default;

  prometheus::Registry registry_{prometheus::Registry::InsertBehavior::Merge};
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace kcm::node
