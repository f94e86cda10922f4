// Pattern: a task crashes each worker that starts it, and takes with it all
// that runs there. The worker is back after some seconds.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <string>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kNever = std::numeric_limits<core::Millis>::max();
constexpr core::Millis kSettleMs = 120000;
constexpr int kGoodJobs = 6;
const std::string kDeadlyJob = "deadly";

/// The deadly job, all tasks of its first step or one of them crash workers.
struct DeadlyCase {
  const char* name;
  StepSpec step;
  bool all_deadly = false;
  /// From the start of a deadly task to the crash.
  core::Millis crash_after_ms = 200;
  int workers = 8;
  /// Tasks of each of the good jobs, of a core and an accelerator.
  int good_tasks = 0;
  /// From each crash to a takeover.
  core::Millis takeover_after_ms = kNever;
  /// The store is out for two seconds from each crash on.
  bool store_outage = false;
};

auto LongRunning() -> StepSpec {
  auto step = DispatchSimulation::Step(1, 1, 4000);
  step.long_running = true;
  return step;
}

auto Name(const testing::TestParamInfo<DeadlyCase>& info) -> std::string {
  return info.param.name;
}

class DeadlyTasks : public testing::TestWithParam<DeadlyCase> {
 protected:
  DeadlyTasks() {
    simulation_.AddWorkers(GetParam().workers, 4);
    simulation_.verbose = std::getenv("KCM_VERBOSE") != nullptr;
    simulation_.on_decision = [this](const DecisionRecord& decision) {
      if (decision.event == core::Event::kJobEnded &&
          decision.fields.at("job") == kDeadlyJob) {
        ended_at_ = simulation_.now;
      }
    };
    simulation_.Run(1000);
  }

  auto SubmitJobs() -> void {
    const auto& step = GetParam().step;
    for (std::int64_t index = 0; index < step.tasks; ++index) {
      if (GetParam().all_deadly || index == step.tasks / 2) {
        simulation_.deadly[{kDeadlyJob, 0, 0, index}] =
            GetParam().crash_after_ms;
      }
    }
    for (int job = 0; job < kGoodJobs; ++job) {
      if (job == kGoodJobs / 2) {
        simulation_.Submit(kDeadlyJob, "batch", {step});
        submitted_at_ = simulation_.now;
      }
      if (GetParam().good_tasks > 0) {
        simulation_.Submit(
            "good" + std::to_string(job), "batch",
            {DispatchSimulation::Step(GetParam().good_tasks, 1, 3000)});
      }
      simulation_.Run(100);
    }
  }

  [[nodiscard]] auto AllEnded() const -> bool {
    return std::all_of(simulation_.invariants.submitted.begin(),
                       simulation_.invariants.submitted.end(),
                       [&](const auto& entry) {
                         return IsEnded(simulation_.PhaseOf(entry.first));
                       });
  }

  auto FollowCrashes() -> void {
    if (simulation_.crashes != crashes_seen_) {
      crashes_seen_ = simulation_.crashes;
      simulation_.store_up = !GetParam().store_outage;
      store_up_at_ = simulation_.now + 2000;
      if (GetParam().takeover_after_ms != kNever) {
        takeover_at_ = simulation_.now + GetParam().takeover_after_ms;
      }
    }
    simulation_.store_up |= simulation_.now >= store_up_at_;
    if (simulation_.now >= takeover_at_) {
      takeover_at_ = kNever;
      simulation_.ReplaceHolder();
    }
  }

  DispatchSimulation simulation_;
  int crashes_seen_ = 0;
  core::Millis submitted_at_ = 0;
  core::Millis ended_at_ = 0;
  core::Millis store_up_at_ = 0;
  core::Millis takeover_at_ = kNever;
};

// Guards against one task that crashes worker after worker without end, and
// takes good work with it, or good jobs that are given up for its crashes.
TEST_P(DeadlyTasks, AreGivenUpAndGoodJobsAreDone) {
  SubmitJobs();
  simulation_.RunUntil(
      [&] {
        FollowCrashes();
        return AllEnded();
      },
      kSettleMs);
  std::cout << GetParam().name << ": " << simulation_.crashes << " crashes, "
            << simulation_.lost_core_s << " core-seconds lost, ended after "
            << ended_at_ - submitted_at_ << " ms\n";
  EXPECT_EQ(simulation_.invariants.violations, std::vector<std::string>{});
  for (const auto& [id, job] : simulation_.invariants.submitted) {
    EXPECT_EQ(simulation_.PhaseOf(id),
              id == kDeadlyJob ? JobPhase::kFailed : JobPhase::kCompleted)
        << id;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    DeadlyTasks,
    testing::Values(DeadlyCase{.name = "Alone",
                               .step = DispatchSimulation::Step(1, 1, 4000)},
                    DeadlyCase{.name = "BesideGoodTasks",
                               .step = DispatchSimulation::Step(1, 1, 4000),
                               .good_tasks = 6},
                    DeadlyCase{.name = "OneOfManyTasks",
                               .step = DispatchSimulation::Step(24, 1, 4000),
                               .good_tasks = 4},
                    DeadlyCase{.name = "AllOfManyTasks",
                               .step = DispatchSimulation::Step(24, 1, 4000),
                               .all_deadly = true,
                               .good_tasks = 4},
                    DeadlyCase{.name = "AtOnce",
                               .step = DispatchSimulation::Step(1, 1, 4000),
                               .crash_after_ms = 0,
                               .good_tasks = 6},
                    DeadlyCase{.name = "Late",
                               .step = DispatchSimulation::Step(1, 1, 9000),
                               .crash_after_ms = 5000,
                               .good_tasks = 6},
                    DeadlyCase{.name = "OnAFullFleet",
                               .step = DispatchSimulation::Step(2, 1, 4000),
                               .workers = 6,
                               .good_tasks = 60},
                    DeadlyCase{.name = "OnTwoWorkers",
                               .step = DispatchSimulation::Step(1, 1, 4000),
                               .workers = 2,
                               .good_tasks = 4},
                    DeadlyCase{.name = "MemberOfAGang",
                               .step = DispatchSimulation::Gang(12, 2, 4000),
                               .good_tasks = 6},
                    DeadlyCase{.name = "LongRunning",
                               .step = LongRunning(),
                               .good_tasks = 6}),
    Name);

auto Takeover(const char* name, core::Millis after) -> DeadlyCase {
  return {.name = name,
          .step = DispatchSimulation::Step(1, 1, 4000),
          .good_tasks = 6,
          .takeover_after_ms = after};
}

INSTANTIATE_TEST_SUITE_P(
    Takeovers,
    DeadlyTasks,
    testing::Values(Takeover("AtTheCrash", 0),
                    Takeover("BeforeTheWorkerIsSilent", 500),
                    Takeover("BeforeTheWorkerIsBack", 2400),
                    Takeover("AsTheWorkerIsBack", 2600),
                    Takeover("AsTheNewLifeIsListed", 2900),
                    Takeover("AfterTheNextStart", 3400),
                    DeadlyCase{.name = "InAnOutageOfTheStore",
                               .step = DispatchSimulation::Step(1, 1, 4000),
                               .good_tasks = 6,
                               .takeover_after_ms = 3000,
                               .store_outage = true}),
    Name);

/// Workers that crash or are cut off for causes of their own.
struct TroubleCase {
  const char* name;
  /// The first workers of the fleet, which has two racks of four.
  int workers;
  core::Millis period_ms;
  int times;
  /// They cannot be reached for a while instead.
  bool cut_off = false;
};

class WorkersInTrouble : public testing::TestWithParam<TroubleCase> {};

// Guards against good jobs that are given up since their workers crash or are
// cut off for causes of their own.
TEST_P(WorkersInTrouble, DoNotMakeGoodTasksLookDeadly) {
  DispatchSimulation simulation;
  simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
  simulation.AddWorkers(8, 4);
  simulation.Run(1000);
  simulation.Submit("tasks", "batch", {DispatchSimulation::Step(24, 1, 6000)});
  simulation.Submit("gang", "batch", {DispatchSimulation::Gang(4, 4, 6000)});
  simulation.Submit("service", "batch", {LongRunning()});
  simulation.Run(1500);
  for (int time = 0; time < GetParam().times; ++time) {
    for (int number = 0; number < GetParam().workers; ++number) {
      const auto id = "w" + std::to_string(number);
      if (GetParam().cut_off) {
        simulation.unreachable.insert(id);
      } else {
        simulation.CrashWorker(id);
      }
    }
    simulation.Run(GetParam().period_ms);
    simulation.unreachable.clear();
  }
  EXPECT_TRUE(simulation.RunUntil(
      [&] {
        return simulation.PhaseOf("tasks") == JobPhase::kCompleted &&
               simulation.PhaseOf("gang") == JobPhase::kCompleted;
      },
      kSettleMs));
  EXPECT_EQ(simulation.PhaseOf("service"), JobPhase::kRunning);
  EXPECT_EQ(simulation.RunsOf("service"), 1);
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    WorkersInTrouble,
    testing::Values(TroubleCase{"OneCrashLoops", 1, 3500, 10},
                    TroubleCase{"TwoCrashLoop", 2, 5000, 10},
                    TroubleCase{"ARackCrashes", 4, 15000, 3},
                    TroubleCase{"AllCrash", 8, 8000, 3},
                    TroubleCase{"OneIsCutOff", 1, 12000, 3, true},
                    TroubleCase{"ARackIsCutOff", 4, 15000, 3, true}),
    [](const auto& info) { return info.param.name; });

/// Runs ten jobs of which some have deadly tasks while workers crash and
/// holders change; the simulation checks the invariants.
/// @return the violated invariants.
auto PlayDeadlyHistory(std::uint32_t seed) -> std::vector<std::string> {
  std::mt19937 random(seed);
  const auto pick = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  DispatchSimulation simulation(seed);
  simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
  simulation.AddWorkers(12, 4);
  simulation.faults.lost = pick(0, 1) * 0.1;
  for (int job = 0; job < 10; ++job) {
    const auto id = "job" + std::to_string(job);
    auto step =
        DispatchSimulation::Step(pick(1, 12), 1 << pick(0, 2), pick(500, 6000));
    step.gang = pick(0, 2) == 0;
    if (pick(0, 2) == 0) {
      const auto deadly = pick(1, static_cast<int>(step.tasks));
      for (int index = 0; index < deadly; ++index) {
        simulation.deadly[{id, 0, 0, index}] = pick(0, 800);
      }
    }
    simulation.Submit(id, "batch", {step});
    simulation.Run(pick(100, 2500));
    const auto worker = "w" + std::to_string(pick(0, 11));
    switch (pick(0, 5)) {
      case 0:
        simulation.ReplaceHolder();
        break;
      case 1:
        simulation.CrashWorker(worker);
        break;
      case 2:
        simulation.unreachable.insert(worker);
        break;
      case 3:
        simulation.store_up = !simulation.store_up;
        break;
      default:
        simulation.unreachable.clear();
        break;
    }
  }
  simulation.unreachable.clear();
  simulation.store_up = true;
  simulation.faults = {};
  const auto all_ended = [&] {
    return std::all_of(simulation.invariants.submitted.begin(),
                       simulation.invariants.submitted.end(),
                       [&](const auto& entry) {
                         return IsEnded(simulation.PhaseOf(entry.first));
                       });
  };
  auto& violations = simulation.invariants.violations;
  if (!simulation.RunUntil(all_ended, kSettleMs)) {
    violations.emplace_back("a job never ended");
  }
  for (const auto& [id, spec] : simulation.invariants.submitted) {
    // A takeover may forget a job that was never stored.
    const auto view = simulation.dispatcher().FindJob(id);
    const auto is_good = !simulation.deadly.contains({id, 0, 0, 0});
    if (is_good && view && view->phase == JobPhase::kFailed) {
      violations.push_back("a good job was given up: " + id);
    }
  }
  return violations;
}

// Guards against histories of crashes after which a deadly task is started too
// often, or a good job is given up.
RC_GTEST_PROP(DeadlyTasksRandom, AreGivenUpInTime, ()) {
  const auto violations =
      PlayDeadlyHistory(*rc::gen::arbitrary<std::uint32_t>());
  if (!violations.empty()) {
    RC_LOG() << violations.front() << "\n";
  }
  RC_ASSERT(violations.empty());
}

class DeadlyTasksSeeds : public testing::TestWithParam<std::uint32_t> {};

// Guards against the same in histories that found a fault before.
TEST_P(DeadlyTasksSeeds, AreGivenUpInTime) {
  EXPECT_EQ(PlayDeadlyHistory(GetParam()), std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Found,
                         DeadlyTasksSeeds,
                         testing::Range(0U, 300U),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace kcm::dispatch
