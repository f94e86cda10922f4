#include "LibDispatch/dispatcher.h"

#include <gtest/gtest.h>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kPatience = 60000;

TEST(Dispatcher, RunsStepsInOrderAndCompletesTheJob) {
  DispatchWorld world;
  world.AddWorkers(4);
  auto second = DispatchWorld::Step(3, 1, 500);
  second.after = {0};
  world.Submit("job", "batch", {DispatchWorld::Gang(4, 8, 800), second});
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; }, kPatience));
  EXPECT_EQ(world.promises.done.size(), 7U);
}

TEST(Dispatcher, StartsNothingBeforeItsRowsAreStored) {
  DispatchWorld world;
  world.AddWorkers(2);
  world.store_up = false;
  world.Submit("job", "batch", {DispatchWorld::Step(2, 1, 500)});
  world.Run(3000);
  EXPECT_TRUE(world.promises.starts.empty());
  world.store_up = true;
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; }, kPatience));
}

TEST(Dispatcher, StopsTheRunsOfACancelledJobWithinTheBound) {
  DispatchWorld world;
  world.AddWorkers(4);
  world.Submit("job", "batch", {DispatchWorld::Gang(4, 8, 30000)});
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 4; }, 2000));
  world.Cancel("job");
  world.Run(1000);
  EXPECT_EQ(world.RunsOf("job"), 0);
  EXPECT_EQ(world.PhaseOf("job"), JobPhase::kCancelled);
}

// How a worker may vanish under a run.
struct VanishCase {
  const char* name;
  bool unlisted;
  bool cut;
};

class DispatcherVanish : public testing::TestWithParam<VanishCase> {};

// A hunted day (mix, seed 469644220076) left tasks of workers that had gone
// away waiting for ever: each failing look granted a new lease, so the old
// one never lapsed.
TEST_P(DispatcherVanish, RunsATaskAgainOnceTheLeaseOfAGoneWorkerHasLapsed) {
  DispatchWorld world;
  world.AddWorkers(1);
  world.Submit("job", "batch", {DispatchWorld::Step(1, 1, 20000)});
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 1; }, 2000));
  world.Run(1000);
  world.AddWorkers(1);
  if (GetParam().unlisted) {
    world.unlisted.insert("w0");
  }
  if (GetParam().cut) {
    world.cut.insert("w0");
  }
  const auto least = DispatchWorld::Settings().max_lease_ms;
  EXPECT_TRUE(world.RunUntil(
      [&] { return !world.workers.at("w1").runs().empty(); }, 3 * least));
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         DispatcherVanish,
                         testing::Values(VanishCase{"LeftTheFleet", true, true},
                                         VanishCase{"CutOff", false, true}),
                         [](const auto& info) { return info.param.name; });

TEST(Dispatcher, ANewHolderGoesOnWithWhatRuns) {
  DispatchWorld world;
  world.AddWorkers(4);
  world.Submit("job", "batch", {DispatchWorld::Gang(4, 8, 3000)});
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 4; }, 2000));
  world.ReplaceHolder();
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; }, kPatience));
  for (const auto& [task, count] : world.promises.starts) {
    EXPECT_EQ(count, 1);
  }
}

// A random history (failures, seed 100) left one member of a gang running for
// ever: the holder was replaced while it stopped the others.
TEST(Dispatcher, ANewHolderStopsTheRestOfAGang) {
  DispatchWorld world;
  world.AddWorkers(4);
  world.Submit("job", "batch", {DispatchWorld::Gang(4, 8, 30000)});
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 4; }, 2000));
  world.Run(1500);
  // The holder hears of one lost member and cannot reach the others.
  world.cut = {"w1", "w2", "w3"};
  world.workers.at("w0").Crash(world.now);
  world.Run(600);
  const auto members = world.RunsOf("job");
  ASSERT_EQ(members, 3);
  world.ReplaceHolder();
  world.cut.clear();
  world.on_call = [&](const WorkerCall& call) {
    EXPECT_FALSE(std::holds_alternative<StartCall>(call.what) &&
                 world.RunsOf("job") > 0);
  };
  // Sooner than the members give up by themselves.
  const auto gang_timeout = DispatchWorld::Settings().gang_timeout_ms;
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 0; },
                             gang_timeout / 2));
}

TEST(Dispatcher, AFailingTaskIsGivenUpAfterItsAttempts) {
  DispatchWorld world;
  world.AddWorkers(4);
  for (auto& [id, worker] : world.workers) {
    worker.set_fails(true);
  }
  world.Submit("bad", "urgent", {DispatchWorld::Step(1, 1, 300)});
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("bad") == JobPhase::kFailed; }, kPatience));
  EXPECT_EQ(world.promises.starts.begin()->second, 2);
}

TEST(Dispatcher, AHungRunIsMovedElsewhere) {
  DispatchWorld world;
  world.AddWorkers(2);
  world.Submit("job", "batch", {DispatchWorld::Step(1, 1, 2000)});
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 1; }, 2000));
  for (auto& [id, worker] : world.workers) {
    for (const auto& [task, run] : std::map(worker.runs())) {
      worker.Hang(task);
    }
  }
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; }, 15000));
}

}  // namespace
}  // namespace kcm::dispatch
