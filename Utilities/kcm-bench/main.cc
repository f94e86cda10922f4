#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <optional>

#include "scale.h"
#include "simulation.h"
#include "strategy.h"
#include "workload.h"

namespace kcm::bench {
namespace {

constexpr std::uint64_t kSeed = 20261204;

/// Options of the command line.
struct BenchOptions {
  std::uint64_t seed = kSeed;
  std::optional<core::Millis> reserve_after_ms;
  std::optional<core::Millis> patience_ms;
  std::optional<std::int64_t> reservations;
};

auto OutcomeToJson(const Outcome& outcome) -> core::Json {
  core::Json classes = core::Json::object();
  for (const auto& [name, times] : outcome.completion_s) {
    classes[name] = {{"jobs", times.size()},
                     {"mean_s", Mean(times)},
                     {"p95_s", Percentile(times, 0.95)}};
  }
  return {{"completion", classes},
          {"owed_wait_max_s", Percentile(outcome.guaranteed_wait_s, 1)},
          {"reclaim_p95_s", Percentile(outcome.reclaim_s, 0.95)},
          {"reclaims", outcome.reclaim_s.size()},
          {"unusable_of_free", outcome.unusable_of_free},
          {"stranded", outcome.stranded},
          {"utilisation", outcome.utilisation},
          {"preemptions", outcome.preemptions}};
}

/// @return the user's objective relative to best fit; less than one is better.
auto Objective(const core::Json& run, const core::Json& best_fit, double weight)
    -> double {
  const auto ratio = [](double value, double base) {
    constexpr double kFloor = 1e-4;
    return std::max(value, kFloor) / std::max(base, kFloor);
  };
  const auto completion = ratio(run["completion"]["all"]["mean_s"],
                                best_fit["completion"]["all"]["mean_s"]);
  return (1 - weight) * completion +
         weight * ratio(run["stranded"], best_fit["stranded"]);
}

auto RunScenario(const Scenario& scenario, const BenchOptions& bench_options)
    -> core::Json {
  auto workload = MakeWorkload(scenario, bench_options.seed);
  if (bench_options.reserve_after_ms) {
    workload.settings.reserve_after_ms = *bench_options.reserve_after_ms;
  }
  if (bench_options.patience_ms) {
    workload.settings.reservation_preempt_after_ms = *bench_options.patience_ms;
  }
  if (bench_options.reservations) {
    workload.settings.max_reservations = *bench_options.reservations;
  }
  core::Json runs = core::Json::object();
  for (const auto& name : StrategyNames()) {
    const auto strategy = MakeStrategy(name, workload);
    runs[name] = OutcomeToJson(Simulate(workload, *strategy));
  }
  for (auto& [name, run] : runs.items()) {
    run["objective"] = Objective(run, runs["best-fit"],
                                 workload.settings.fragmentation_weight);
  }
  return {{"user", scenario.user},
          {"load", scenario.load},
          {"declared", scenario.wrong_declarations ? "wrong" : "honest"},
          {"jobs", workload.arrivals.size()},
          {"runs", runs}};
}

auto RunAllScenarios(const BenchOptions& bench_options) -> core::Json {
  auto rows = core::Json::array();
  for (const auto* user : {"glintwater", "espumarte"}) {
    for (const auto* load : {"steady", "small-burst", "large-burst"}) {
      for (const bool wrong_declarations : {false, true}) {
        rows.push_back(
            RunScenario({user, load, wrong_declarations}, bench_options));
      }
    }
  }
  return rows;
}

auto PrintPolicy(const core::Json& rows) -> void {
  std::cout << "| user | load | declared | strategy | mean s | p95 s | "
               "large mean s | urgent p95 s | owed wait max s | reclaim p95 s "
               "| unusable of free | stranded | utilisation | preemptions | "
               "objective |\n|"
            << "---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
            << std::fixed;
  for (const auto& row : rows) {
    for (const auto& name : StrategyNames()) {
      const auto& run = row["runs"][name];
      const auto& done = run["completion"];
      const auto cell = [](const core::Json& value, int digits) {
        std::cout << " | " << std::setprecision(digits) << value.get<double>();
      };
      std::cout << "| " << row["user"].get<std::string>() << " | "
                << row["load"].get<std::string>() << " | "
                << row["declared"].get<std::string>() << " | " << name;
      cell(done["all"]["mean_s"], 0);
      cell(done["all"]["p95_s"], 0);
      cell(done["large"]["mean_s"], 0);
      cell(done["urgent"]["p95_s"], 0);
      cell(run["owed_wait_max_s"], 0);
      cell(run["reclaim_p95_s"], 0);
      cell(run["unusable_of_free"], 3);
      cell(run["stranded"], 4);
      cell(run["utilisation"], 3);
      cell(run["preemptions"], 0);
      cell(run["objective"], 3);
      std::cout << " |\n";
    }
  }
}

auto PrintScale(const core::Json& sizes) -> void {
  std::cout << "| workers | accelerators | tasks | gang members | single p50 "
               "us | single p99 us | gang p50 us | gang p99 us | bytes per "
               "worker | bytes per task |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n"
            << std::fixed << std::setprecision(0);
  for (const auto& size : sizes) {
    for (const auto* key :
         {"workers", "accelerators", "tasks", "gang_members", "single_p50_us",
          "single_p99_us", "gang_p50_us", "gang_p99_us", "bytes_per_worker",
          "bytes_per_task"}) {
      std::cout << "| " << size[key].get<double>() << " ";
    }
    std::cout << "|\n";
  }
}

auto Main(int argc, char** argv) -> int {
  cxxopts::Options options("kcm-bench", "Benchmarks of the placement policy");
  options.add_options()("mode", "policy or scale",
                        cxxopts::value<std::string>()->default_value("policy"))(
      "seed", "seed of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value(std::to_string(kSeed)))(
      "reserve-after-ms", "overrides the wait before a reservation",
      cxxopts::value<core::Millis>())("patience-ms",
                                      "overrides the patience of a reservation",
                                      cxxopts::value<core::Millis>())(
      "reservations", "overrides how many reservations may be open",
      cxxopts::value<std::int64_t>())("json", "print JSON instead of a table")(
      "help", "print this help");
  options.parse_positional({"mode"});
  options.positional_help("policy|scale");
  const auto parsed = options.parse(argc, argv);
  const auto mode = parsed["mode"].as<std::string>();
  if (parsed.count("help") > 0 || (mode != "policy" && mode != "scale")) {
    std::cout << options.help();
    return parsed.count("help") > 0 ? 0 : 2;
  }
  BenchOptions bench_options;
  bench_options.seed = parsed["seed"].as<std::uint64_t>();
  if (parsed.count("reserve-after-ms") > 0) {
    bench_options.reserve_after_ms =
        parsed["reserve-after-ms"].as<core::Millis>();
  }
  if (parsed.count("patience-ms") > 0) {
    bench_options.patience_ms = parsed["patience-ms"].as<core::Millis>();
  }
  if (parsed.count("reservations") > 0) {
    bench_options.reservations = parsed["reservations"].as<std::int64_t>();
  }
  const bool policy = mode == "policy";
  const auto results = policy ? RunAllScenarios(bench_options) : MeasureScale();
  if (parsed.count("json") > 0) {
    std::cout << results.dump(2) << "\n";
  } else if (policy) {
    PrintPolicy(results);
  } else {
    PrintScale(results);
  }
  return 0;
}

}  // namespace
}  // namespace kcm::bench

auto main(int argc, char** argv) -> int {
  return kcm::bench::Main(argc, argv);
}
