#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "LibCore/nearest.h"
#include "LibSchedule/fleet_model.h"
#include "LibSchedule/placement.h"
#include "LibState/cell_fold.h"
#include "LibState/table_fold.h"
#include "synthetic_log.h"

namespace kcm::bench {

namespace {

constexpr std::int64_t kAccounts = 96;
constexpr std::int64_t kEdits = 200;
constexpr std::int64_t kFixedWorkers = 1000;

/// @return resident memory of this process in bytes.
auto ResidentBytes() -> std::int64_t {
  std::ifstream file("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

/// @return microseconds that `work` took.
auto MicrosOf(const std::function<void()>& work) -> double {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

/// Applies records to a fold as a reader of the log does; measures size and
/// time.
class FoldTimer {
 public:
  explicit FoldTimer(state::Fold& fold) : fold_(fold) {}

  auto Apply(const state::Record& record) -> void {
    const core::Json raw = record;
    bytes_ += static_cast<std::int64_t>(raw.dump().size());
    micros_ += MicrosOf([&] {
      const auto result =
          fold_.Apply(fold_.next_offset(), raw.get<state::Record>());
      rejected_ += result.accepted ? 0 : 1;
    });
  }

  [[nodiscard]] auto bytes() const -> std::int64_t { return bytes_; }
  [[nodiscard]] auto micros() const -> double { return micros_; }
  [[nodiscard]] auto rejected() const -> std::int64_t { return rejected_; }

 private:
  state::Fold& fold_;
  std::int64_t bytes_ = 0;
  double micros_ = 0;
  std::int64_t rejected_ = 0;
};

auto MeasureSnapshot(const state::Fold& fold, core::Json& result) -> void {
  std::vector<std::uint8_t> packed;
  result["snapshot_us"] =
      MicrosOf([&] { packed = core::Json::to_msgpack(fold.ToSnapshot()); });
  result["snapshot_bytes"] = packed.size();
}

/// Folds all records of `size` jobs of two members.
auto MeasureJobs(std::int64_t size) -> core::Json {
  state::CellFold cell;
  FoldTimer timer(cell);
  timer.Apply(TermRecord());
  const auto before = ResidentBytes();
  for (std::int64_t i = 0; i < size; ++i) {
    timer.Apply(SubmittedRecord(i));
    timer.Apply(PlacedRecord(i, 2));
    timer.Apply(EndedRecord(i));
  }
  core::Json result = {{"rss_bytes", ResidentBytes() - before},
                       {"apply_us", timer.micros()},
                       {"log_bytes", timer.bytes()},
                       {"rejected", timer.rejected()}};
  MeasureSnapshot(cell, result);
  return result;
}

/// Folds the placement of one gang of `size` members.
auto MeasureGang(std::int64_t size) -> core::Json {
  state::CellFold cell;
  FoldTimer timer(cell);
  timer.Apply(TermRecord());
  timer.Apply(SubmittedRecord(0));
  const auto bytes = timer.bytes();
  const auto micros = timer.micros();
  timer.Apply(PlacedRecord(0, size));
  return {{"apply_us", timer.micros() - micros},
          {"log_bytes", timer.bytes() - bytes},
          {"rejected", timer.rejected()}};
}

auto MeasureEdits(std::int64_t accounts, std::int64_t workers) -> core::Json {
  state::TableFold table;
  FoldTimer timer(table);
  const auto before = ResidentBytes();
  timer.Apply(FleetRecord(workers));
  const auto fleet_bytes = timer.bytes();
  for (std::int64_t i = 0; i < accounts; ++i) {
    timer.Apply(RowRecord(i, 0));
  }
  const auto micros = timer.micros();
  const auto bytes = timer.bytes();
  for (std::int64_t i = 0; i < kEdits; ++i) {
    timer.Apply(RowRecord(i % accounts, 1 + i / accounts));
  }
  core::Json result = {{"rss_bytes", ResidentBytes() - before},
                       {"fleet_bytes", fleet_bytes},
                       {"edit_us", (timer.micros() - micros) / kEdits},
                       {"edit_bytes", (timer.bytes() - bytes) / kEdits},
                       {"rejected", timer.rejected()}};
  MeasureSnapshot(table, result);
  return result;
}

auto MeasureRows(std::int64_t size) -> core::Json {
  return MeasureEdits(size, kFixedWorkers);
}

auto MeasureFleet(std::int64_t size) -> core::Json {
  return MeasureEdits(kAccounts, size);
}

/// Checks a submission against a fleet without jobs, as a gateway does.
auto MeasureSubmission(std::int64_t size) -> core::Json {
  constexpr int kRounds = 20;
  const auto fleet = FleetRecord(size).body.get<state::Fleet>();
  state::Shape shape;
  shape.members = 2;
  shape.accelerators = 8;
  bool fits = true;
  const auto micros = MicrosOf([&] {
    for (int i = 0; i < kRounds; ++i) {
      const schedule::FleetModel model(fleet, "hobart-a");
      fits = fits && schedule::FindPlacement(model, shape).has_value();
    }
  });
  return {{"check_us", micros / kRounds}, {"rejected", fits ? 0 : 1}};
}

/// A benchmark and the name that selects it.
struct Measure {
  std::string_view name;
  auto(*run)(std::int64_t size) -> core::Json;
};

constexpr std::array kMeasures = {
    Measure{"jobs", MeasureJobs},
    Measure{"gang", MeasureGang},
    Measure{"rows", MeasureRows},
    Measure{"fleet", MeasureFleet},
    Measure{"submission", MeasureSubmission},
};

auto Run(const std::string& name, std::int64_t size) -> int {
  constexpr int kExitUsage = 2;
  std::vector<std::string> names;
  for (const auto& measure : kMeasures) {
    if (measure.name == name) {
      auto result = measure.run(size);
      result["measure"] = name;
      result["size"] = size;
      std::cout << result.dump() << "\n";
      return 0;
    }
    names.emplace_back(measure.name);
  }
  std::cerr << "kcm-bench-state: there is no measure \"" << name << "\"."
            << core::DidYouMean(name, names) << "\n";
  return kExitUsage;
}

}  // namespace

}  // namespace kcm::bench

auto main(int argc, char** argv) -> int {
  cxxopts::Options options("kcm-bench-state",
                           "Measures the cost of folding the log.");
  options.add_options()("measure", "jobs, gang, rows, fleet or submission",
                        cxxopts::value<std::string>()->default_value("jobs"))(
      "size", "jobs, members, rows or workers",
      cxxopts::value<std::int64_t>()->default_value("1000"));
  try {
    const auto parsed = options.parse(argc, argv);
    return kcm::bench::Run(
        parsed["measure"].as<std::string>(),
        std::max<std::int64_t>(parsed["size"].as<std::int64_t>(), 1));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return 2;
  }
}
