#include "LibNode/node_samples.h"

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <fstream>
#include <string>

#include "LibNode/node.h"

namespace kcm::node {

namespace {

constexpr double kMicrosPerSecond = 1e6;

/// One counter of the bus and the name of its metric.
struct BusSample {
  std::string_view name;
  std::uint64_t net::BusCounters::*member;
};

constexpr std::array kBusSamples = {
    BusSample{"bus_messages_sent", &net::BusCounters::sent},
    BusSample{"bus_messages_dropped", &net::BusCounters::dropped},
    BusSample{"bus_messages_received", &net::BusCounters::received},
    BusSample{"bus_bytes_sent", &net::BusCounters::bytes_sent},
    BusSample{"bus_bytes_received", &net::BusCounters::bytes_received},
};

auto SecondsOf(const timeval& time) -> double {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

auto ResidentBytes() -> double {
  std::ifstream file("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages * sysconf(_SC_PAGESIZE));
}

auto SampleProcess(Metrics& metrics) -> void {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  metrics.SetTotal("process_cpu_seconds",
                   SecondsOf(usage.ru_utime) + SecondsOf(usage.ru_stime));
  metrics.Set("process_resident_bytes", ResidentBytes());
}

auto SampleBus(Node& node) -> void {
  for (const auto& sample : kBusSamples) {
    node.metrics().SetTotal(
        std::string(sample.name),
        static_cast<double>(node.bus().counters().*sample.member));
  }
}

auto SampleLog(Node& node) -> void {
  auto& metrics = node.metrics();
  const auto& world = node.log().cluster_state();
  for (const auto& stream : world.streams()) {
    metrics.Set("log_next_offset",
                static_cast<double>(node.log().NextOffset(stream)), "stream",
                stream);
  }
  metrics.Set("table_version", static_cast<double>(world.table().version()));
  metrics.SetTotal("trace_spans_dropped",
                   static_cast<double>(node.tracer().dropped()));
  metrics.SetTotal("log_appends", static_cast<double>(node.writer().appends()));
}

auto SampleCells(Node& node) -> void {
  auto& metrics = node.metrics();
  std::map<state::JobStatus, std::int64_t> jobs;
  for (const auto& row : core::EnumNames<state::JobStatus>::kRows) {
    jobs[row.value] = 0;
  }
  for (const auto& data_centre : node.DataCentresOf("")) {
    const auto* cell = node.log().cluster_state().FindCell(data_centre);
    metrics.Set("term_number", static_cast<double>(cell->term().number),
                "data_centre", data_centre);
    metrics.Set("term_held", cell->term().holder == node.self() ? 1 : 0,
                "data_centre", data_centre);
    for (const auto& [id, job] : cell->jobs()) {
      ++jobs[job.status];
    }
  }
  for (const auto& [status, count] : jobs) {
    metrics.Set("jobs", static_cast<double>(count), "status",
                std::string(core::NameOf(status)));
  }
}

}  // namespace

auto RegisterNodeSamples(Node& node) -> void {
  node.metrics().OnScrape([&node] {
    SampleProcess(node.metrics());
    SampleBus(node);
    SampleLog(node);
    SampleCells(node);
  });
}

}  // namespace kcm::node
