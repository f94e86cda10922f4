#include "measurement.h"

#include <sys/resource.h>

#include <memory>

namespace kcm::bench_calls {

namespace {

constexpr core::Millis kWarmUpMs = 500;
constexpr core::Millis kTickMs = 5;
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;

auto Usage() -> Measurement {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
           static_cast<double>(time.tv_usec);
  };
  return {0, 0, micros(usage.ru_utime) + micros(usage.ru_stime),
          usage.ru_nvcsw};
}

}  // namespace

auto Measurement::ToJson() const -> core::Json {
  const auto count = static_cast<double>(exchanges > 0 ? exchanges : 1);
  return {{"exchanges", exchanges},
          {"failed", failed},
          {"processor_us", processor_us / count},
          {"wake_ups", static_cast<double>(wake_ups) / count}};
}

auto Measure(net::EventLoop& loop,
             const BenchSettings& settings,
             Measurement& measurement) -> void {
  loop.After(kWarmUpMs, [&] { loop.Stop(); });
  loop.Run();
  measurement = {};
  const auto before = Usage();
  loop.After(settings.span_ms, [&] { loop.Stop(); });
  loop.Run();
  const auto after = Usage();
  measurement.processor_us = after.processor_us - before.processor_us;
  measurement.wake_ups = after.wake_ups - before.wake_ups;
}

auto SendAtRate(net::EventLoop& loop,
                const BenchSettings& settings,
                const std::function<void()>& send) -> void {
  loop.Every(kTickMs, [send, rate = settings.rate_per_s,
                       credit = std::make_shared<std::int64_t>(0)] {
    for (*credit += rate * kTickMs; *credit >= kMillisPerSecond;
         *credit -= kMillisPerSecond) {
      send();
    }
  });
}

}  // namespace kcm::bench_calls
