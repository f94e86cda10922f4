#include "LibNode/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace kcm::node {

namespace {

auto LabelsOf(const std::string& label, const std::string& value)
    -> prometheus::Labels {
  return label.empty() ? prometheus::Labels{}
                       : prometheus::Labels{{label, value}};
}

}  // namespace

auto Metrics::create(net::EventLoop& loop,
                     const core::Address& address,
                     core::Reason& reason) -> std::unique_ptr<Metrics> {
  std::unique_ptr<Metrics> metrics(new Metrics());
  metrics->server_ = net::HttpServer::create(
      loop, address,
      [raw = metrics.get()](const net::HttpRequest& /*request*/,
                            const net::HttpReply& reply) {
        const prometheus::TextSerializer serializer;
        reply.Send({200,
                    {{"content-type", "text/plain; version=0.0.4"}},
                    serializer.Serialize(raw->registry_.Collect())});
      },
      reason);
  return metrics->server_ == nullptr ? nullptr : std::move(metrics);
}

auto Metrics::Count(const std::string& name,
                    const std::string& label,
                    const std::string& value,
                    double increment) -> void {
  prometheus::BuildCounter()
      .Name("kcm_" + name + "_total")
      .Register(registry_)
      .Add(LabelsOf(label, value))
      .Increment(increment);
}

auto Metrics::Set(const std::string& name,
                  double number,
                  const std::string& label,
                  const std::string& value) -> void {
  prometheus::BuildGauge()
      .Name("kcm_" + name)
      .Register(registry_)
      .Add(LabelsOf(label, value))
      .Set(number);
}

}  // namespace kcm::node
