// Room for owed and urgent work on full fleets.

#include <gtest/gtest.h>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

TEST(Dispatcher, GuaranteedWorkTakesItsRoomBackInTime) {
  DispatchWorld world;
  world.AddWorkers(8);
  world.SetGuarantees({{"crew", 16}});
  for (int number = 0; number < 8; ++number) {
    world.Submit("fill" + std::to_string(number), "idle",
                 {DispatchWorld::Step(8, 1, 30000)}, "other");
  }
  world.Run(1500);
  world.Submit("owed", "urgent", {DispatchWorld::Gang(2, 8, 1000)}, "crew");
  const auto asked_at = world.now;
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("owed") == 2; },
                             DispatchWorld::Settings().reclaim_ms))
      << world.now - asked_at;
}

// The pattern: a burst of short urgent jobs of an account without a guarantee
// meets a fleet full of long idle work, which has time to spare.
// Workers that turn slow near the end of their runs (quiet-1, seed
// 878900981145): the runs were expected to end any moment, and owed work waited
// for them instead of making room.
TEST(Dispatcher, OwedWorkDoesNotWaitLongForRunsThatAreOverdue) {
  DispatchWorld world;
  world.AddWorkers(4);
  world.SetGuarantees({{"council", 32}});
  world.Submit("slow", "batch", {DispatchWorld::Step(32, 1, 4000)}, "parks");
  world.Run(4300);
  for (auto& [id, worker] : world.workers) {
    worker.set_speed(0.1);
  }
  world.Run(500);
  ASSERT_EQ(world.RunsOf("slow"), 32);
  world.Submit("owed", "urgent", {DispatchWorld::Gang(4, 8, 1000)});
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("owed") == 4; }, 600));
}

// A full fleet, an owed gang of half of it and a stream of small owed jobs
// behind it (mix, seed 664575389301): the small ones were more urgent and took
// the room that was being made for the gang, again and again.
TEST(Dispatcher, OlderOwedWorkKeepsTheRoomMadeForIt) {
  DispatchWorld world;
  world.AddWorkers(8, 4);
  world.SetGuarantees({{"council", 64}});
  for (auto& [id, worker] : world.workers) {
    worker.set_stop_grace(200);
  }
  for (int number = 0; number < 4; ++number) {
    world.Submit("batch" + std::to_string(number), "batch",
                 {DispatchWorld::Step(64, 1, 9000)}, "parks");
  }
  world.Run(1000);
  auto gang = DispatchWorld::Gang(4, 8, 4000);
  gang.same_rack = true;
  world.Submit("gang", "urgent", {gang});
  // What one eviction frees is enough; a second one would follow after 800 ms.
  for (int small = 0; small < 7; ++small) {
    world.Run(100);
    world.Submit("small" + std::to_string(small), "urgent",
                 {DispatchWorld::Step(1, 8, 600)});
  }
  EXPECT_EQ(world.RunsOf("gang"), 4);
  EXPECT_EQ(world.promises.broken, std::vector<std::string>{});
}

TEST(Dispatcher, UrgentWorkTakesCheapRoomFromWorkThatCanWait) {
  DispatchWorld world;
  world.AddWorkers(4);
  for (int number = 0; number < 4; ++number) {
    world.Submit("fill" + std::to_string(number), "idle",
                 {DispatchWorld::Step(8, 1, 9000)}, "other");
  }
  world.Run(600);
  world.Submit("urgent", "urgent", {DispatchWorld::Gang(2, 8, 2000)}, "guest");
  EXPECT_TRUE(
      world.RunUntil([&] { return world.RunsOf("urgent") == 2; }, 1500));
}

// The pattern: an urgent job comes while enough work is about to end by
// itself; stopping it would throw nearly all of it away.
TEST(Dispatcher, NothingIsEvictedWhereRoomOpensByItself) {
  DispatchWorld world;
  world.AddWorkers(2);
  world.SetGuarantees({{"crew", 16}});
  world.Submit("fill", "idle", {DispatchWorld::Step(2, 8, 4000)}, "other");
  ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("fill") == 2; }, 2000));
  world.Run(3850);
  world.Submit("owed", "urgent", {DispatchWorld::Gang(2, 8, 1000)}, "crew");
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("owed") == 2; }, 1500));
  for (const auto& [task, count] : world.promises.starts) {
    EXPECT_EQ(count, 1) << task.job;
  }
}

}  // namespace
}  // namespace kcm::dispatch
