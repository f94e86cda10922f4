// Scheduled jobs and long-running tasks.

#include <gtest/gtest.h>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kMaxSimulatedMs = 60000;

// A job with three occurrences, the first due in two seconds.
auto ScheduledJob(const DispatchSimulation& simulation) -> JobSpec {
  JobSpec job;
  job.id = "job";
  job.queue = "batch";
  job.steps = {DispatchSimulation::Step(2, 8, 1000)};
  job.repeats = 3;
  job.first_due_at = simulation.Now().wall + 2000;
  job.period_ms = 3000;
  return job;
}

TEST(Dispatcher, EachOccurrenceOfAScheduledJobRunsWhenDue) {
  DispatchSimulation simulation;
  simulation.AddWorkers(2);
  const auto job = ScheduledJob(simulation);
  simulation.Submit(job);
  std::map<std::int64_t, core::Millis> first_starts;
  simulation.on_call = [&](const WorkerCall& call) {
    if (const auto* start = std::get_if<StartCall>(&call.command)) {
      first_starts.try_emplace(start->task.occurrence, simulation.Now().wall);
    }
  };
  simulation.Run(3500);
  simulation.ReplaceHolder();
  EXPECT_TRUE(simulation.RunUntil(
      [&] { return simulation.PhaseOf("job") == JobPhase::kCompleted; },
      kMaxSimulatedMs));
  ASSERT_EQ(first_starts.size(), 3U);
  for (const auto& [occurrence, start] : first_starts) {
    const auto due = job.first_due_at + occurrence * job.period_ms;
    EXPECT_GE(start, due);
    EXPECT_LT(start, due + 500);
  }
  EXPECT_EQ(simulation.invariants.done.size(), 6U);
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

// Guards against ranking an occurrence by the age of its job instead of its due
// time: behind a full queue, every younger job was placed first.
TEST(Dispatcher, AnOccurrenceIsRankedByItsDueTime) {
  DispatchSimulation simulation;
  simulation.AddWorkers(2);
  auto job = ScheduledJob(simulation);
  job.first_due_at = simulation.Now().wall + 20000;
  job.repeats = 1;
  // That of the others, so that only the rank decides.
  job.account = "council";
  simulation.Submit(job);
  simulation.Run(20000 - 3000);
  for (int number = 0; number < 12; ++number) {
    simulation.Submit("other" + std::to_string(number), "batch",
                      {DispatchSimulation::Step(2, 8, 2000)});
  }
  simulation.Run(3000);
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 2; }, 6000));
}

auto LongRunningStep() -> StepSpec {
  auto step = DispatchSimulation::Step(2, 8, 0);
  step.long_running = true;
  return step;
}

// A way in which a run of a long-running task may end.
struct LongRunningEnd {
  const char* name;
  void (*end)(DispatchSimulation&);
  /// How often it ends: more often than max_attempts of the queue, and how long
  /// the tasks have run each time.
  int times = 6;
  core::Millis runs_for = 1500;
};

class DispatcherLongRunning : public testing::TestWithParam<LongRunningEnd> {};

TEST_P(DispatcherLongRunning, IsRestartedEachTimeItEnds) {
  DispatchSimulation simulation;
  simulation.AddWorkers(4);
  simulation.run_times_ms["job"] = 1000000;
  simulation.Submit("job", "batch", {LongRunningStep()});
  for (int time = 0; time < GetParam().times; ++time) {
    ASSERT_TRUE(simulation.RunUntil(
        [&] { return simulation.RunsOf("job") == 2; }, 6000));
    simulation.Run(GetParam().runs_for);
    GetParam().end(simulation);
  }
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 2; }, 6000));
  EXPECT_EQ(simulation.PhaseOf("job"), JobPhase::kRunning);
  simulation.Cancel("job");
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 0; }, 1000));
  EXPECT_EQ(simulation.PhaseOf("job"), JobPhase::kCancelled);
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

auto EndFirstRun(DispatchSimulation& simulation, RunEnd how) -> void {
  for (auto& [id, worker] : simulation.workers) {
    if (!worker.runs().empty()) {
      worker.End(worker.runs().begin()->first, how);
      return;
    }
  }
}

auto CrashFirstWorker(DispatchSimulation& simulation) -> void {
  for (auto& [id, worker] : simulation.workers) {
    if (!worker.runs().empty()) {
      worker.Crash(simulation.now);
      return;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends,
    DispatcherLongRunning,
    testing::Values(LongRunningEnd{"Failed",
                                   [](DispatchSimulation& simulation) {
                                     EndFirstRun(simulation, RunEnd::kFailed);
                                   }},
                    LongRunningEnd{"Done",
                                   [](DispatchSimulation& simulation) {
                                     EndFirstRun(simulation, RunEnd::kDone);
                                   }},
                    LongRunningEnd{"HolderReplaced",
                                   [](DispatchSimulation& simulation) {
                                     simulation.ReplaceHolder();
                                   }},
                    LongRunningEnd{"WorkerRestarted", CrashFirstWorker, 6,
                                   11000},
                    // A task that crashes more workers soon after its start is
                    // deadly and given up, see DeadlyTasks.
                    LongRunningEnd{"WorkerRestartedSoon", CrashFirstWorker, 3}),
    [](const auto& info) { return info.param.name; });

// Guards against ranking long-running tasks as past their objective: on a fleet
// on which shorter work always waits, they were never placed.
TEST(Dispatcher, ALongRunningTaskDoesNotWaitBehindYoungerWork) {
  DispatchSimulation simulation;
  simulation.AddWorkers(2);
  simulation.run_times_ms["job"] = 1000000;
  simulation.Submit("full", "batch", {DispatchSimulation::Step(2, 8, 3000)});
  simulation.Run(500);
  simulation.Submit("job", "batch", {LongRunningStep()});
  simulation.Run(2000);
  for (int number = 0; number < 8; ++number) {
    simulation.Submit("other" + std::to_string(number), "batch",
                      {DispatchSimulation::Step(2, 8, 2000)});
  }
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 2; }, 4000));
}

}  // namespace
}  // namespace kcm::dispatch
