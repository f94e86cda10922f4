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
  EXPECT_EQ(world.done.size(), 7U);
}

TEST(Dispatcher, StartsNothingBeforeItsRowsAreStored) {
  DispatchWorld world;
  world.AddWorkers(2);
  world.store_up = false;
  world.Submit("job", "batch", {DispatchWorld::Step(2, 1, 500)});
  world.Run(3000);
  EXPECT_TRUE(world.starts.empty());
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
  for (const auto& [task, count] : world.starts) {
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
  EXPECT_EQ(world.broken, std::vector<std::string>{});
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
  for (const auto& [task, count] : world.starts) {
    EXPECT_EQ(count, 1) << task.job;
  }
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
  EXPECT_EQ(world.starts.begin()->second, 2);
}

// A job whose steps run three times, the first time two seconds from now.
auto ScheduledJob(const DispatchWorld& world) -> JobSpec {
  JobSpec job;
  job.id = "job";
  job.queue = "batch";
  job.steps = {DispatchWorld::Step(2, 8, 1000)};
  job.repeats = 3;
  job.first_due_at = world.Now().wall + 2000;
  job.period_ms = 3000;
  return job;
}

TEST(Dispatcher, AScheduledJobRunsEachTimeWhenItIsDue) {
  DispatchWorld world;
  world.AddWorkers(2);
  const auto job = ScheduledJob(world);
  world.Submit(job);
  std::map<std::int64_t, core::Millis> first_starts;
  world.on_call = [&](const WorkerCall& call) {
    if (const auto* start = std::get_if<StartCall>(&call.what)) {
      first_starts.try_emplace(start->task.occurrence, world.Now().wall);
    }
  };
  world.Run(3500);
  world.ReplaceHolder();
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; }, kPatience));
  ASSERT_EQ(first_starts.size(), 3U);
  for (const auto& [occurrence, start] : first_starts) {
    const auto due = job.first_due_at + occurrence * job.period_ms;
    EXPECT_GE(start, due);
    EXPECT_LT(start, due + 500);
  }
  EXPECT_EQ(world.done.size(), 6U);
  EXPECT_EQ(world.broken, std::vector<std::string>{});
}

// Scheduled times under a queue that is always full: a time that has just come
// was ranked by the age of its job, so every younger job went first.
TEST(Dispatcher, AScheduledTimeIsNotLateBeforeItIsDue) {
  DispatchWorld world;
  world.AddWorkers(2);
  auto job = ScheduledJob(world);
  job.first_due_at = world.Now().wall + 20000;
  job.repeats = 1;
  world.Submit(job);
  world.Run(20000 - 3000);
  for (int number = 0; number < 12; ++number) {
    world.Submit("other" + std::to_string(number), "batch",
                 {DispatchWorld::Step(2, 8, 2000)});
  }
  world.Run(3000);
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 2; }, 6000));
}

auto LastingStep() -> StepSpec {
  auto step = DispatchWorld::Step(2, 8, 0);
  step.long_running = true;
  return step;
}

// How a run of a task that lasts may end.
struct LastingEnd {
  const char* name;
  void (*end)(DispatchWorld&);
};

class DispatcherLasting : public testing::TestWithParam<LastingEnd> {};

TEST_P(DispatcherLasting, RunsAgainAsOftenAsItEnds) {
  DispatchWorld world;
  world.AddWorkers(4);
  world.needs["job"] = 1000000;
  world.Submit("job", "batch", {LastingStep()});
  // More often than tasks that end may fail.
  for (int time = 0; time < 6; ++time) {
    ASSERT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 2; }, 6000));
    world.Run(1500);
    GetParam().end(world);
  }
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 2; }, 6000));
  EXPECT_EQ(world.PhaseOf("job"), JobPhase::kRunning);
  world.Cancel("job");
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 0; }, 1000));
  EXPECT_EQ(world.PhaseOf("job"), JobPhase::kCancelled);
  EXPECT_EQ(world.broken, std::vector<std::string>{});
}

auto EndFirstRun(DispatchWorld& world, RunEnd how) -> void {
  for (auto& [id, worker] : world.workers) {
    if (!worker.runs().empty()) {
      worker.End(worker.runs().begin()->first, how);
      return;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends,
    DispatcherLasting,
    testing::Values(LastingEnd{"Failed",
                               [](DispatchWorld& world) {
                                 EndFirstRun(world, RunEnd::kFailed);
                               }},
                    LastingEnd{"Done",
                               [](DispatchWorld& world) {
                                 EndFirstRun(world, RunEnd::kDone);
                               }},
                    LastingEnd{
                        "HolderGone",
                        [](DispatchWorld& world) { world.ReplaceHolder(); }},
                    LastingEnd{"WorkerReborn",
                               [](DispatchWorld& world) {
                                 for (auto& [id, worker] : world.workers) {
                                   if (!worker.runs().empty()) {
                                     worker.Crash(world.now);
                                     return;
                                   }
                                 }
                               }}),
    [](const auto& info) { return info.param.name; });

// Tasks that last, on a fleet on which shorter work always waits: they were
// ranked as long past their objective.
TEST(Dispatcher, ATaskThatLastsDoesNotWaitBehindLaterWork) {
  DispatchWorld world;
  world.AddWorkers(2);
  world.needs["job"] = 1000000;
  world.Submit("full", "batch", {DispatchWorld::Step(2, 8, 3000)});
  world.Run(500);
  world.Submit("job", "batch", {LastingStep()});
  world.Run(2000);
  for (int number = 0; number < 8; ++number) {
    world.Submit("other" + std::to_string(number), "batch",
                 {DispatchWorld::Step(2, 8, 2000)});
  }
  EXPECT_TRUE(world.RunUntil([&] { return world.RunsOf("job") == 2; }, 4000));
}

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
  EXPECT_EQ(world.starts.begin()->second, GetParam().runs);
  EXPECT_EQ(world.broken, std::vector<std::string>{});
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
