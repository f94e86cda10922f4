// Work on workers that leave.

#include <gtest/gtest.h>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

// Scale-in under work: a worker says that it leaves in three seconds while a
// run of a given length is two seconds old.
struct LeaveCase {
  const char* name;
  core::Millis run_ms;
  bool checkpoints;
  /// Runs that the task needs in all, and the most time until it is done.
  int runs;
  core::Millis done_within_ms;
};

class DispatcherLeave : public testing::TestWithParam<LeaveCase> {};

TEST_P(DispatcherLeave, WorkThatCannotEndInTimeMovesWithWhatItSaved) {
  DispatchWorld world;
  world.AddWorkers(1);
  auto step = DispatchWorld::Step(1, 8, GetParam().run_ms);
  step.checkpoints = GetParam().checkpoints;
  world.Submit("job", "batch", {step});
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 1; }, 2000));
  world.Run(2000);
  world.AddWorkers(1);
  const auto leaves_at = world.now + 3000;
  auto& leaving = world.workers.at("w0");
  leaving.info().draining = true;
  const auto is_done = [&] {
    leaving.info().leaves_in_ms =
        std::max<core::Millis>(leaves_at - world.now, 0);
    if (world.now >= leaves_at && !world.unlisted.contains("w0")) {
      leaving.Crash(world.now);
      world.unlisted.insert("w0");
    }
    return world.PhaseOf("job") == JobPhase::kCompleted;
  };
  EXPECT_TRUE(world.RunUntil(is_done, GetParam().done_within_ms));
  EXPECT_EQ(world.promises.starts.begin()->second, GetParam().runs);
  EXPECT_EQ(world.promises.broken, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DispatcherLeave,
    // A run that saves its progress works until a second before the worker
    // leaves and has 4 of 8 seconds left then; one that does not begins again
    // at once; one that ends in time stays.
    testing::Values(LeaveCase{"Saves", 8000, true, 2, 7000},
                    LeaveCase{"BeginsAgain", 8000, false, 2, 9000},
                    LeaveCase{"EndsInTime", 4000, false, 1, 2500},
                    LeaveCase{"EndsInTimeAndSaves", 4000, true, 1, 2500}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::dispatch
