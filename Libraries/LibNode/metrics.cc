#include "LibNode/metrics.h"
#include "LibNet/http_status.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace kcm::node {

namespace {

constexpr std::size_t kMaxSeriesPerFamily = 256;
/// Scrapes have short heads and no body, and the same time for the head as
/// clients.
constexpr net::HttpLimits kScrapeLimits = {.max_header_bytes = 16384,
                                           .max_body_bytes = 16384,
                                           .header_timeout_ms = 3000};

auto LabelsOf(const std::string& label, const std::string& value)
    -> prometheus::Labels {
  return label.empty() ? prometheus::Labels{}
                       : prometheus::Labels{{label, value}};
}

}  // namespace

auto Metrics::create(net::EventLoop& loop,
                     const core::Address& address,
                     core::Reason& reason,
                     std::shared_ptr<net::ConnectionTable> table)
    -> std::unique_ptr<Metrics> {
  std::unique_ptr<Metrics> metrics(new Metrics());
  if (table == nullptr) {
    table =
        std::make_shared<net::ConnectionTable>(net::MakeConnectionBounds(0, 0));
  }
  metrics->OnScrape(
      [raw = metrics.get(), table] { raw->SampleConnections(*table); });
  metrics->server_ = net::HttpServer::create(
      loop, address,
      [raw = metrics.get()](const net::HttpRequest& request,
                            const net::HttpReply& reply) {
        raw->Reply(request, reply);
      },
      reason, kScrapeLimits, table);
  return metrics->server_ == nullptr ? nullptr : std::move(metrics);
}

auto Metrics::Reply(const net::HttpRequest& request,
                    const net::HttpReply& reply) -> void {
  const auto document = documents_.find(request.path);
  if (document != documents_.end()) {
    reply.SendJson(net::kHttpOk, document->second());
    return;
  }
  reply.Send({net::kHttpOk,
              {{"content-type", "text/plain; version=0.0.4"}},
              Serialize()});
}

auto Metrics::ServeDocument(const std::string& path, DocumentSource source)
    -> void {
  documents_[path] = std::move(source);
}

auto Metrics::Count(const std::string& name,
                    const std::string& label,
                    const std::string& value,
                    double increment) -> void {
  CounterOf(name, label, value).Increment(increment);
}

auto Metrics::SetTotal(const std::string& name,
                       double total,
                       const std::string& label,
                       const std::string& value) -> void {
  auto& counter = CounterOf(name, label, value);
  if (total > counter.Value()) {
    counter.Increment(total - counter.Value());
  }
}

auto Metrics::Set(const std::string& name,
                  double number,
                  const std::string& label,
                  const std::string& value) -> void {
  FindSeries(GaugeFamilyOf(name), label, value).Set(number);
}

auto Metrics::SetAll(const std::string& name,
                     const std::string& label,
                     const std::map<std::string, double>& numbers) -> void {
  auto& gauge = GaugeFamilyOf(name);
  std::erase_if(gauge.series, [&](const auto& entry) {
    if (numbers.contains(entry.first)) {
      return false;
    }
    gauge.family->Remove(entry.second);
    return true;
  });
  for (const auto& [value, number] : numbers) {
    FindSeries(gauge, label, value).Set(number);
  }
}

auto Metrics::GaugeFamilyOf(const std::string& name)
    -> Family<prometheus::Gauge>& {
  auto& gauge = gauges_[name];
  if (gauge.family == nullptr) {
    gauge.family =
        &prometheus::BuildGauge().Name("kcm_" + name).Register(registry_);
  }
  return gauge;
}

auto Metrics::Observe(const std::string& name, core::Millis duration) -> void {
  auto*& histogram = histograms_[name];
  if (histogram == nullptr) {
    const prometheus::Histogram::BucketBoundaries bounds = {
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};
    histogram = &prometheus::BuildHistogram()
                     .Name("kcm_" + name + "_ms")
                     .Register(registry_)
                     .Add({}, bounds);
  }
  histogram->Observe(static_cast<double>(duration));
}

auto Metrics::OnScrape(Sampler sampler) -> void {
  samplers_.push_back(std::move(sampler));
}

auto Metrics::CounterOf(const std::string& name,
                        const std::string& label,
                        const std::string& value) -> prometheus::Counter& {
  auto& counter = counters_[name];
  if (counter.family == nullptr) {
    counter.family = &prometheus::BuildCounter()
                          .Name("kcm_" + name + "_total")
                          .Register(registry_);
  }
  return FindSeries(counter, label, value);
}

template <typename Series>
auto Metrics::FindSeries(Family<Series>& family,
                         const std::string& label,
                         const std::string& value) -> Series& {
  const auto known = family.series.find(value);
  if (known != family.series.end()) {
    return *known->second;
  }
  const auto bounded =
      family.series.size() < kMaxSeriesPerFamily ? value : "other";
  auto& series = family.family->Add(LabelsOf(label, bounded));
  family.series.emplace(bounded, &series);
  return series;
}

auto Metrics::SampleConnections(net::ConnectionTable& table) -> void {
  Set("http_connections", static_cast<double>(table.connections()));
  Set("http_held_bytes", static_cast<double>(table.bytes()));
  for (const auto& row : core::EnumNames<net::RefusalKind>::kRows) {
    SetTotal("http_refusals",
             static_cast<double>(table.refusals().total(row.value)), "kind",
             std::string(row.name));
  }
}

auto Metrics::Serialize() -> std::string {
  for (const auto& sampler : samplers_) {
    sampler();
  }
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_.Collect());
}

}  // namespace kcm::node
