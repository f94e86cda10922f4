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

}  // namespace
}  // namespace kcm::dispatch
