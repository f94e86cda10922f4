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
/// Share of the capacity that the steady arrivals use.
constexpr double kSteadyLoad = 0.85;
constexpr double kBurstLoad = 0.6;
constexpr double kWrongDeclarationFactor = 10;
constexpr const char* kGuaranteedAccount = "account-3";

/// A kind of job with its share of the work.
struct JobKind {
  const char* job_class;
  double work_share;
  std::int64_t members;
  std::int64_t accelerators;
  Adjacency adjacency;
  core::Millis min_run_ms;
  core::Millis max_run_ms;
  Recovery recovery;
  bool urgent;
};

constexpr std::array kGlintwater = {
    JobKind{"route", 0.25, 1, 1, Adjacency::kSameWorker, 2 * kMinute,
            15 * kMinute, Recovery::kRestartable, false},
    JobKind{"urgent", 0.05, 1, 2, Adjacency::kSameWorker, kMinute, 4 * kMinute,
            Recovery::kRestartable, true},
    JobKind{"image", 0.25, 1, 4, Adjacency::kSameWorker, 10 * kMinute,
            40 * kMinute, Recovery::kNone, false},
    JobKind{"report", 0.25, 2, 8, Adjacency::kSameRack, 20 * kMinute, kHour,
            Recovery::kCheckpointable, false},
    JobKind{"large", 0.20, 4, 8, Adjacency::kSameRack, 30 * kMinute,
            90 * kMinute, Recovery::kCheckpointable, false},
};

constexpr std::array kEspumarte = {
    JobKind{"check", 0.10, 1, 2, Adjacency::kSameWorker, kMinute, 5 * kMinute,
            Recovery::kRestartable, false},
    JobKind{"urgent", 0.05, 1, 2, Adjacency::kSameWorker, kMinute, 4 * kMinute,
            Recovery::kRestartable, true},
    JobKind{"render", 0.30, 1, 4, Adjacency::kSameWorker, 30 * kMinute,
            90 * kMinute, Recovery::kRestartable, false},
    JobKind{"simulation", 0.35, 4, 8, Adjacency::kSameRack, kHour, 4 * kHour,
            Recovery::kCheckpointable, false},
    JobKind{"large", 0.20, 6, 8, Adjacency::kSameRack, kHour, 3 * kHour,
            Recovery::kNone, false},
};

/// A generator whose numbers do not depend on the standard library.
class PortableRandom {
 public:
  explicit PortableRandom(std::uint64_t seed) : engine_(seed) {}
  auto UnitInterval() -> double {
    return static_cast<double>(engine_() >> 11U) / 9007199254740992.0;
  }
  auto Uniform(core::Millis low, core::Millis high) -> core::Millis {
    return low + static_cast<core::Millis>(UnitInterval() *
                                           static_cast<double>(high - low));
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

auto MakeRows() -> std::map<std::string, state::AccountRow> {
  std::map<std::string, state::AccountRow> rows;
  const std::array<double, 4> weights = {4, 3, 1, 1};
  for (int i = 0; i < 4; ++i) {
    state::AccountRow row;
    row.account = "account-" + std::to_string(i);
    row.weight = weights[static_cast<std::size_t>(i)];
    row.accelerators = 400;
    row.urgent_accelerators = 32;
    rows[row.account] = row;
  }
  const state::Shape guaranteed{4, 8, 5, 8192, Adjacency::kSameRack};
  rows["account-0"].guarantees = {{"a", 1, guaranteed}};
  rows[kGuaranteedAccount].guarantees = {{"a", 1, guaranteed}};
  return rows;
}

auto DeclareRunTime(core::Millis run_ms, bool wrong, PortableRandom& random)
    -> core::Millis {
  if (!wrong) {
    return run_ms;
  }
  const auto exact = static_cast<double>(run_ms);
  return static_cast<core::Millis>(random.UnitInterval() < 0.5
                                       ? exact * kWrongDeclarationFactor
                                       : exact / kWrongDeclarationFactor);
}

auto MakeArrival(const JobKind& kind,
                 core::Millis at,
                 const Scenario& scenario,
                 PortableRandom& random) -> Arrival {
  Arrival arrival;
  arrival.at = at;
  arrival.run_ms = random.Uniform(kind.min_run_ms, kind.max_run_ms);
  arrival.job_class = kind.job_class;
  auto& spec = arrival.spec;
  const auto account = random.UnitInterval();
  spec.account = account < 0.45  ? "account-0"
                 : account < 0.8 ? "account-1"
                                 : "account-2";
  spec.data_centre = "a";
  spec.shape = {kind.members, kind.accelerators, kind.accelerators / 2 + 1,
                2048, kind.adjacency};
  spec.recovery = kind.recovery;
  spec.urgent = kind.urgent;
  spec.declared_run_ms =
      DeclareRunTime(arrival.run_ms, scenario.wrong_declarations, random);
  return arrival;
}

auto MeanWork(const JobKind& kind) -> double {
  return static_cast<double>(kind.members * kind.accelerators) *
         static_cast<double>(kind.min_run_ms + kind.max_run_ms) / 2;
}

/// Adds gangs of the guaranteed shape, 80 minutes apart, for an account that
/// submits nothing else.
auto AddGuaranteedGangs(const Scenario& scenario,
                        PortableRandom& random,
                        std::vector<Arrival>& all) -> void {
  constexpr JobKind kGuaranteedKind{"owed",
                                    0,
                                    4,
                                    8,
                                    Adjacency::kSameRack,
                                    20 * kMinute,
                                    40 * kMinute,
                                    Recovery::kNone,
                                    false};
  for (int i = 0; i < 8; ++i) {
    auto arrival = MakeArrival(kGuaranteedKind, kHour + kMinute * 80 * i,
                               scenario, random);
    arrival.spec.account = kGuaranteedAccount;
    all.push_back(std::move(arrival));
  }
}

}  // namespace

auto MakeWorkload(const Scenario& scenario, std::uint64_t seed) -> Workload {
  PortableRandom random(seed);
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
          MakeArrival(kind, random.Uniform(0, kArrivalSpan), scenario, random));
    }
  }
  if (!steady) {
    // A quarter of the capacity over the span arrives within ten minutes.
    const auto& kind =
        scenario.load == "small-burst" ? kinds.front() : kinds.back();
    const auto count = static_cast<int>(0.25 * capacity / MeanWork(kind));
    for (int i = 0; i < count; ++i) {
      workload.arrivals.push_back(MakeArrival(
          kind, 2 * kHour + random.Uniform(0, 10 * kMinute), scenario, random));
    }
  }
  AddGuaranteedGangs(scenario, random, workload.arrivals);
  std::stable_sort(workload.arrivals.begin(), workload.arrivals.end(),
                   [](const Arrival& left, const Arrival& right) {
                     return left.at < right.at;
                   });
  return workload;
}

}  // namespace kcm::bench
