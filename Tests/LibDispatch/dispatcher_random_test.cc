#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <optional>

#include "dispatch_simulation.h"
#include "random_evacuations.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kFaultyPhaseMs = 20000;
constexpr core::Millis kSettleMs = 120000;

/// Faults of a random history besides lost and delayed answers, crashes,
/// unreachable workers, new holders and cancelled jobs.
struct HistoryKind {
  const char* name;
  /// Workers whose runs fail and take time to stop, steps with checkpoints, and
  /// jobs that are withdrawn while the store is unavailable.
  bool failures;
  /// Most ends that a worker lists in one answer.
  std::size_t listed_ends = 500;
  /// Data centres are evacuated and returned to service.
  bool evacuations = false;
};

/// Runs fifteen jobs under random faults; the simulation checks the invariants
/// at each start and each end.
/// @return the violated invariants.
auto PlayHistory(std::uint32_t seed, const HistoryKind& kind, bool verbose)
    -> std::vector<std::string> {
  std::mt19937 random(seed);
  // A separate generator keeps the histories of seeds that once failed
  // unchanged.
  std::mt19937 failure_random(~seed);
  const auto one_in = [&](int count) {
    return kind.failures &&
           std::uniform_int_distribution<int>(1, count)(failure_random) == 1;
  };
  const auto pick = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  DispatchSimulation simulation(seed);
  simulation.verbose = verbose;
  simulation.AddWorkers(12, 4);
  for (auto& [id, worker] : simulation.workers) {
    worker.set_stop_grace(kind.failures ? 150 : 0);
    worker.set_max_listed_ends(kind.listed_ends);
  }
  std::optional<RandomEvacuations> evacuations;
  if (kind.evacuations) {
    evacuations.emplace(simulation, seed);
  }
  simulation.faults.lost = pick(0, 2) * 0.1;
  simulation.faults.delayed = pick(0, 2) * 0.05;
  const std::vector<std::string> queues = {"urgent", "batch", "idle"};
  int jobs = 0;
  while (simulation.now < kFaultyPhaseMs) {
    if (jobs < 15) {
      auto step = DispatchSimulation::Step(pick(1, 6), 1 << pick(0, 3),
                                           pick(200, 4000));
      step.gang = pick(0, 1) == 0;
      step.checkpoints = one_in(2);
      auto after = DispatchSimulation::Step(pick(1, 3), 1, pick(200, 1000));
      after.after = {0};
      const auto id = "job" + std::to_string(jobs++);
      simulation.Submit(
          id, queues[static_cast<std::size_t>(pick(0, 2))],
          pick(0, 1) == 0 ? std::vector{step} : std::vector{step, after});
      if (!simulation.store_up && one_in(2)) {
        simulation.Withdraw(id);
      }
    }
    const auto worker = "w" + std::to_string(pick(0, 11));
    switch (pick(0, 7)) {
      case 0:
        simulation.ReplaceHolder();
        break;
      case 1:
        simulation.unreachable.insert(worker);
        break;
      case 2:
        simulation.unreachable.clear();
        break;
      case 3:
        simulation.workers.at(worker).Crash(simulation.now);
        break;
      case 4:
        simulation.store_up = !simulation.store_up;
        break;
      case 5:
        simulation.Cancel("job" + std::to_string(pick(0, jobs)));
        break;
      default:
        break;
    }
    if (evacuations) {
      evacuations->Step();
    }
    simulation.workers.at(worker).set_fails(one_in(3));
    simulation.Run(pick(100, 1500));
  }
  for (auto& [id, each] : simulation.workers) {
    each.set_fails(false);
  }
  if (evacuations) {
    evacuations->End();
  }
  simulation.unreachable.clear();
  simulation.store_up = true;
  simulation.faults = {};
  const auto all_ended = [&] {
    return std::all_of(
        simulation.invariants.submitted.begin(),
        simulation.invariants.submitted.end(), [&](const auto& entry) {
          const auto view = simulation.dispatcher().FindJob(entry.first);
          return !view || IsEnded(view->phase);
        });
  };
  if (!simulation.RunUntil(all_ended, kSettleMs)) {
    simulation.invariants.violations.emplace_back("a job never ended");
  }
  return simulation.invariants.violations;
}

constexpr HistoryKind kPlain = {"Plain", false};
constexpr HistoryKind kFailures = {"Failures", true};
/// Answers of workers have room for one end, or for two.
constexpr HistoryKind kOneEnd = {"OneEnd", false, 1};
constexpr HistoryKind kTwoEnds = {"TwoEnds", true, 2};
constexpr HistoryKind kEvacuations = {"Evacuations", false, 500, true};
constexpr HistoryKind kFailuresInEvacuations = {"FailuresInEvacuations", true,
                                                500, true};

RC_GTEST_PROP(DispatcherRandom, KeepsItsInvariantsUnderFaults, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto kind = *rc::gen::element(kPlain, kFailures);
  const auto violations = PlayHistory(seed, kind, false);
  for (const auto& violation : violations) {
    RC_LOG() << kind.name << " " << violation << "\n";
  }
  RC_ASSERT(violations.empty());
}

RC_GTEST_PROP(DispatcherRandom, KeepsItsInvariantsInEvacuations, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto kind = *rc::gen::element(kEvacuations, kFailuresInEvacuations);
  const auto violations = PlayHistory(seed, kind, false);
  for (const auto& violation : violations) {
    RC_LOG() << kind.name << " " << violation << "\n";
  }
  RC_ASSERT(violations.empty());
}

class DispatcherSeeds
    : public testing::TestWithParam<std::tuple<HistoryKind, std::uint32_t>> {};

TEST_P(DispatcherSeeds, KeepTheInvariants) {
  const auto& [kind, seed] = GetParam();
  EXPECT_EQ(PlayHistory(seed, kind, std::getenv("KCM_VERBOSE") != nullptr),
            std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Found,
                         DispatcherSeeds,
                         testing::Combine(testing::Values(kPlain, kFailures),
                                          testing::Range(0U, 600U)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  std::to_string(std::get<1>(info.param));
                         });

// Guards against tasks that run again after their ends, because the answers of
// their workers had no room for these.
INSTANTIATE_TEST_SUITE_P(EndsCutShort,
                         DispatcherSeeds,
                         testing::Combine(testing::Values(kOneEnd, kTwoEnds),
                                          testing::Range(0U, 300U)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  std::to_string(std::get<1>(info.param));
                         });

// Guards against starts in evacuated data centres, and against tasks that are
// never started because one was evacuated before they began.
INSTANTIATE_TEST_SUITE_P(
    InEvacuations,
    DispatcherSeeds,
    testing::Combine(testing::Values(kEvacuations, kFailuresInEvacuations),
                     testing::Range(0U, 100U)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) +
             std::to_string(std::get<1>(info.param));
    });

// Found by 1,500 random histories each.
INSTANTIATE_TEST_SUITE_P(
    FoundByRandomHistories,
    DispatcherSeeds,
    testing::Combine(testing::Values(kPlain, kFailures),
                     testing::Values(52663U, 705748U, 2869551U, 167670130U)),
    [](const auto& info) {
      return std::string(std::get<0>(info.param).name) +
             std::to_string(std::get<1>(info.param));
    });

}  // namespace
}  // namespace kcm::dispatch
