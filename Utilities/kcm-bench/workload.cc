#include "workload.h"

#include <algorithm>
#include <array>
#include <random>

namespace kcm::bench {

namespace {

using state::Adjacency;
using state::Recovery;

constexpr core::Millis kMinute = 60000;
constexpr core::Millis kHour = 60 * kMinute;
constexpr core::Millis kArrivalSpan = 12 * kHour;
constexpr int kWorkers = 50;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
/// Share of the fleet that the steady arrivals ask for.
constexpr double kSteadyLoad = 0.85;
constexpr double kBurstLoad = 0.6;
constexpr double kWrongFactor = 10;
constexpr const char* kOwedAccount = "account-3";

/// A kind of job with its share of the work.
struct Kind {
  const char* job_class;
  double work_share;
  std::int64_t members;
  std::int64_t accelerators;
  Adjacency adjacency;
  core::Millis shortest;
  core::Millis longest;
  Recovery recovery;
  bool urgent;
};

constexpr std::array kGlintwater = {
    Kind{"route", 0.25, 1, 1, Adjacency::kSameWorker, 2 * kMinute, 15 * kMinute,
         Recovery::kRestartable, false},
    Kind{"urgent", 0.05, 1, 2, Adjacency::kSameWorker, kMinute, 4 * kMinute,
         Recovery::kRestartable, true},
    Kind{"image", 0.25, 1, 4, Adjacency::kSameWorker, 10 * kMinute,
         40 * kMinute, Recovery::kNone, false},
    Kind{"report", 0.25, 2, 8, Adjacency::kSameRack, 20 * kMinute, kHour,
         Recovery::kCheckpointable, false},
    Kind{"large", 0.20, 4, 8, Adjacency::kSameRack, 30 * kMinute, 90 * kMinute,
         Recovery::kCheckpointable, false},
};

constexpr std::array kEspumarte = {
    Kind{"check", 0.10, 1, 2, Adjacency::kSameWorker, kMinute, 5 * kMinute,
         Recovery::kRestartable, false},
    Kind{"urgent", 0.05, 1, 2, Adjacency::kSameWorker, kMinute, 4 * kMinute,
         Recovery::kRestartable, true},
    Kind{"render", 0.30, 1, 4, Adjacency::kSameWorker, 30 * kMinute,
         90 * kMinute, Recovery::kRestartable, false},
    Kind{"simulation", 0.35, 4, 8, Adjacency::kSameRack, kHour, 4 * kHour,
         Recovery::kCheckpointable, false},
    Kind{"large", 0.20, 6, 8, Adjacency::kSameRack, kHour, 3 * kHour,
         Recovery::kNone, false},
};

/// A generator whose numbers do not depend on the standard library.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  auto Unit() -> double {
    return static_cast<double>(engine_() >> 11U) / 9007199254740992.0;
  }
  auto Between(core::Millis low, core::Millis high) -> core::Millis {
    return low +
           static_cast<core::Millis>(Unit() * static_cast<double>(high - low));
  }

 private:
  std::mt19937_64 engine_;
};

auto MakeFleet(bool glintwater) -> state::Fleet {
  state::Fleet fleet;
  for (int i = 0; i < kWorkers; ++i) {
    fleet.workers.push_back({"worker-" + std::to_string(100 + i), "a",
                             "rack-" + std::to_string(i / kWorkersPerRack),
                             glintwater ? 32 : 64, glintwater ? 131072 : 262144,
                             kAcceleratorsPerWorker});
  }
  return fleet;
}

auto MakeRows() -> std::map<std::string, state::Row> {
  std::map<std::string, state::Row> rows;
  const std::array<double, 4> weights = {4, 3, 1, 1};
  for (int i = 0; i < 4; ++i) {
    state::Row row;
    row.account = "account-" + std::to_string(i);
    row.weight = weights[static_cast<std::size_t>(i)];
    row.accelerators = 400;
    row.urgent_accelerators = 32;
    rows[row.account] = row;
  }
  const state::Shape owed{4, 8, 5, 8192, Adjacency::kSameRack};
  rows["account-0"].guarantees = {{"a", 1, owed}};
  rows[kOwedAccount].guarantees = {{"a", 1, owed}};
  return rows;
}

auto Declare(core::Millis run_ms, bool wrong, Dice& dice) -> core::Millis {
  if (!wrong) {
    return run_ms;
  }
  const auto exact = static_cast<double>(run_ms);
  return static_cast<core::Millis>(dice.Unit() < 0.5 ? exact * kWrongFactor
                                                     : exact / kWrongFactor);
}

auto MakeArrival(const Kind& kind,
                 core::Millis at,
                 const Scenario& scenario,
                 Dice& dice) -> Arrival {
  Arrival arrival;
  arrival.at = at;
  arrival.run_ms = dice.Between(kind.shortest, kind.longest);
  arrival.job_class = kind.job_class;
  auto& spec = arrival.spec;
  const auto account = dice.Unit();
  spec.account = account < 0.45  ? "account-0"
                 : account < 0.8 ? "account-1"
                                 : "account-2";
  spec.data_centre = "a";
  spec.shape = {kind.members, kind.accelerators, kind.accelerators / 2 + 1,
                2048, kind.adjacency};
  spec.recovery = kind.recovery;
  spec.urgent = kind.urgent;
  spec.declared_run_ms =
      Declare(arrival.run_ms, scenario.wrong_declarations, dice);
  return arrival;
}

auto MeanWork(const Kind& kind) -> double {
  return static_cast<double>(kind.members * kind.accelerators) *
         static_cast<double>(kind.shortest + kind.longest) / 2;
}

/// Gangs of the guaranteed shape, one after the other, of an account that
/// submits nothing else.
auto AddOwed(const Scenario& scenario, Dice& dice, std::vector<Arrival>& all)
    -> void {
  constexpr Kind kOwed{"owed",
                       0,
                       4,
                       8,
                       Adjacency::kSameRack,
                       20 * kMinute,
                       40 * kMinute,
                       Recovery::kNone,
                       false};
  for (int i = 0; i < 8; ++i) {
    auto arrival = MakeArrival(kOwed, kHour + kMinute * 80 * i, scenario, dice);
    arrival.spec.account = kOwedAccount;
    all.push_back(std::move(arrival));
  }
}

}  // namespace

auto MakeWorkload(const Scenario& scenario, std::uint64_t seed) -> Workload {
  Dice dice(seed);
  const bool glintwater = scenario.user == "glintwater";
  Workload workload;
  workload.fleet = MakeFleet(glintwater);
  workload.rows = MakeRows();
  workload.settings.fragmentation_weight = glintwater ? 0.2 : 0.8;
  const auto& kinds = glintwater ? kGlintwater : kEspumarte;
  const auto capacity = static_cast<double>(kWorkers * kAcceleratorsPerWorker) *
                        static_cast<double>(kArrivalSpan);
  const bool steady = scenario.load == "steady";
  for (const auto& kind : kinds) {
    const auto count =
        static_cast<int>((steady ? kSteadyLoad : kBurstLoad) * kind.work_share *
                         capacity / MeanWork(kind));
    for (int i = 0; i < count; ++i) {
      workload.arrivals.push_back(
          MakeArrival(kind, dice.Between(0, kArrivalSpan), scenario, dice));
    }
  }
  if (!steady) {
    // A quarter of the fleet's work of the span arrives within ten minutes.
    const auto& kind =
        scenario.load == "small-burst" ? kinds.front() : kinds.back();
    const auto count = static_cast<int>(0.25 * capacity / MeanWork(kind));
    for (int i = 0; i < count; ++i) {
      workload.arrivals.push_back(MakeArrival(
          kind, 2 * kHour + dice.Between(0, 10 * kMinute), scenario, dice));
    }
  }
  AddOwed(scenario, dice, workload.arrivals);
  std::stable_sort(workload.arrivals.begin(), workload.arrivals.end(),
                   [](const Arrival& left, const Arrival& right) {
                     return left.at < right.at;
                   });
  return workload;
}

}  // namespace kcm::bench
