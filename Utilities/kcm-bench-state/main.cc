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

/// Folds records as a process does that reads them from the log.
class Folder {
 public:
  explicit Folder(state::Fold& fold) : fold_(fold) {}

  auto Apply(const state::Record& record) -> void {
    const core::Json raw = record;
    bytes_ += static_cast<std::int64_t>(raw.dump().size());
    micros_ += MicrosOf([&] {
      const auto verdict =
          fold_.Apply(fold_.next_offset(), raw.get<state::Record>());
      rejected_ += verdict.accepted ? 0 : 1;
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

/// Folds the whole life of `size` jobs of two members.
auto MeasureJobs(std::int64_t size) -> core::Json {
  state::CellFold cell;
  Folder folder(cell);
  folder.Apply(TermRecord());
  const auto before = ResidentBytes();
  for (std::int64_t i = 0; i < size; ++i) {
    folder.Apply(SubmittedRecord(i));
    folder.Apply(PlacedRecord(i, 2));
    folder.Apply(EndedRecord(i));
  }
  core::Json result = {{"rss_bytes", ResidentBytes() - before},
                       {"apply_us", folder.micros()},
                       {"log_bytes", folder.bytes()},
                       {"rejected", folder.rejected()}};
  MeasureSnapshot(cell, result);
  return result;
}

/// Folds the placement of one gang of `size` members.
auto MeasureGang(std::int64_t size) -> core::Json {
  state::CellFold cell;
  Folder folder(cell);
  folder.Apply(TermRecord());
  folder.Apply(SubmittedRecord(0));
  const auto bytes = folder.bytes();
  const auto micros = folder.micros();
  folder.Apply(PlacedRecord(0, size));
  return {{"apply_us", folder.micros() - micros},
          {"log_bytes", folder.bytes() - bytes},
          {"rejected", folder.rejected()}};
}

auto MeasureEdits(std::int64_t accounts, std::int64_t workers) -> core::Json {
  state::TableFold table;
  Folder folder(table);
  const auto before = ResidentBytes();
  folder.Apply(FleetRecord(workers));
  const auto fleet_bytes = folder.bytes();
  for (std::int64_t i = 0; i < accounts; ++i) {
    folder.Apply(RowRecord(i, 0));
  }
  const auto micros = folder.micros();
  const auto bytes = folder.bytes();
  for (std::int64_t i = 0; i < kEdits; ++i) {
    folder.Apply(RowRecord(i % accounts, 1 + i / accounts));
  }
  core::Json result = {{"rss_bytes", ResidentBytes() - before},
                       {"fleet_bytes", fleet_bytes},
                       {"edit_us", (folder.micros() - micros) / kEdits},
                       {"edit_bytes", (folder.bytes() - bytes) / kEdits},
                       {"rejected", folder.rejected()}};
  MeasureSnapshot(table, result);
  return result;
}

auto MeasureRows(std::int64_t size) -> core::Json {
  return MeasureEdits(size, kFixedWorkers);
}

auto MeasureFleet(std::int64_t size) -> core::Json {
  return MeasureEdits(kAccounts, size);
}

/// Checks one submission against an empty fleet, as a gateway does.
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

/// One measure and the name that selects it.
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
  std::vector<std::string> known;
  for (const auto& measure : kMeasures) {
    if (measure.name == name) {
      auto result = measure.run(size);
      result["measure"] = name;
      result["size"] = size;
      std::cout << result.dump() << "\n";
      return 0;
    }
    known.emplace_back(measure.name);
  }
  std::cerr << "kcm-bench-state: there is no measure \"" << name << "\"."
            << core::DidYouMean(name, known) << "\n";
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
