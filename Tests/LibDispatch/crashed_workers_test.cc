// Runs on workers that crash and are replaced by others at their addresses.

#include <gtest/gtest.h>

#include <cstdlib>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

/// What shows that a worker at the address of a silent one replaced it.
struct CrashCase {
  const char* name;
  int tasks;
  bool gang;
  /// The new worker refuses calls that are meant for the crashed one.
  bool refuses;
  /// The new worker is listed.
  bool listed;
  /// A new holder takes over while the worker is down.
  bool takeover;
  /// The tasks run again before a lease can have ended.
  bool restarts_early;
};

class CrashedWorker : public testing::TestWithParam<CrashCase> {};

// Guards against accepted tasks that do not run for ten seconds, with free
// workers, since their worker crashed and only its silence was noticed.
TEST_P(CrashedWorker, IsNotWaitedForOnceAnotherHasItsAddress) {
  constexpr core::Millis kDownMs = 2500;
  // From the start of the new worker to the start of the tasks elsewhere.
  constexpr core::Millis kRestartMs = 1000;
  DispatchSimulation simulation;
  simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
  simulation.AddWorkers(2);
  auto step = DispatchSimulation::Step(GetParam().tasks, 8, 20000);
  step.gang = GetParam().gang;
  simulation.Submit("job", "batch", {step});
  const auto runs_whole = [&] {
    return simulation.RunsOf("job") == GetParam().tasks;
  };
  ASSERT_TRUE(simulation.RunUntil(runs_whole, 2000));
  simulation.Run(900);
  simulation.AddWorkers(2);
  simulation.CrashAndReplace("w0",
                             {kDownMs, GetParam().refuses, GetParam().listed});
  simulation.Run(kDownMs / 2);
  if (GetParam().takeover) {
    simulation.ReplaceHolder();
  }
  simulation.Run(kDownMs / 2 + DispatchSimulation::kStepMs);
  EXPECT_EQ(simulation.RunUntil(runs_whole, kRestartMs),
            GetParam().restarts_early);
  EXPECT_TRUE(simulation.RunUntil(runs_whole, 12000));
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    CrashedWorker,
    testing::Values(
        CrashCase{"Refuses", 1, false, true, false, false, true},
        CrashCase{"Listed", 1, false, false, true, false, true},
        CrashCase{"GangRefuses", 2, true, true, false, false, true},
        CrashCase{"GangListed", 2, true, false, true, false, true},
        CrashCase{"RefusesAfterTakeover", 1, false, true, true, true, true},
        CrashCase{"ListedAfterTakeover", 1, false, false, true, true, true},
        CrashCase{"OnlySilent", 1, false, false, false, false, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a wait for the leases, and a crash that is not counted, since
// the worker was listed no more when the next holder read the state.
TEST(CrashedWorkerTakeover, FindsTheSuccessorOfAWorkerThatIsNotListed) {
  constexpr core::Millis kRestartMs = 1000;
  DispatchSimulation simulation;
  simulation.AddWorkers(1);
  simulation.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 20000)});
  const auto runs = [&] { return simulation.RunsOf("job") == 1; };
  ASSERT_TRUE(simulation.RunUntil(runs, 2000));
  simulation.Run(900);
  simulation.AddWorkers(1);
  simulation.CrashAndReplace("w0", {2500, true, true});
  // The holder sees two polls fail and stores the bound on the leases.
  simulation.Run(2400);
  simulation.is_vacant = true;
  simulation.Run(DispatchSimulation::kUnlistedAfterMs - 2000);
  simulation.ReplaceHolder();
  EXPECT_TRUE(simulation.RunUntil(runs, kRestartMs));
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

/// An entry with the address of a worker that is alive and cut off.
struct EntryCase {
  const char* name;
  /// Relative to the incarnation of the worker.
  std::int64_t younger_by;
};

class CutOffWorker : public testing::TestWithParam<EntryCase> {};

// Guards against two runs of one task at once, after an entry that names no
// worker in use was taken for the successor of one that is only cut off.
TEST_P(CutOffWorker, IsWaitedForWhateverOtherEntriesName) {
  DispatchSimulation simulation;
  simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
  simulation.AddWorkers(1);
  simulation.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 20000)});
  const auto runs = [&] { return simulation.RunsOf("job") == 1; };
  ASSERT_TRUE(simulation.RunUntil(runs, 2000));
  simulation.Run(900);
  simulation.AddWorkers(2);
  auto info = simulation.workers.at("w0").info();
  info.id = "other";
  info.incarnation += GetParam().younger_by;
  simulation.workers.emplace(info.id, FakeWorker(info))
      .first->second.set_up(false);
  simulation.Run(1000);
  simulation.unreachable.insert("w0");
  simulation.Run(12000);
  EXPECT_TRUE(simulation.RunUntil(runs, 2000));
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         CutOffWorker,
                         testing::Values(EntryCase{"Older", -1},
                                         EntryCase{"OfTheSameTime", 0},
                                         EntryCase{"YoungerAndNeverAnswering",
                                                   1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::dispatch
