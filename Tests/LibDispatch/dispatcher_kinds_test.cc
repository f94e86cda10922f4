// Scheduled jobs and tasks that last.

#include <gtest/gtest.h>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kLongEnough = 60000;

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
      [&] { return world.PhaseOf("job") == JobPhase::kCompleted; },
      kLongEnough));
  ASSERT_EQ(first_starts.size(), 3U);
  for (const auto& [occurrence, start] : first_starts) {
    const auto due = job.first_due_at + occurrence * job.period_ms;
    EXPECT_GE(start, due);
    EXPECT_LT(start, due + 500);
  }
  EXPECT_EQ(world.promises.done.size(), 6U);
  EXPECT_EQ(world.promises.broken, std::vector<std::string>{});
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
  EXPECT_EQ(world.promises.broken, std::vector<std::string>{});
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

}  // namespace
}  // namespace kcm::dispatch
