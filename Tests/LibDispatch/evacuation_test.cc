// Data centres that the operators evacuate and take back.

#include <gtest/gtest.h>

#include "LibDispatch/evacuation_report.h"
#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

/// Workers of two data centres, the first half of them in "a".
class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() {
    simulation_.AddWorkers(kWorkers);
    for (int number = 0; number < kWorkers; ++number) {
      simulation_.workers.at("w" + std::to_string(number)).info().data_centre =
          number < kWorkers / 2 ? "a" : "b";
    }
    simulation_.on_call = [this](const WorkerCall& call) {
      const auto& info = simulation_.workers.at(call.worker).info();
      if (std::holds_alternative<StartCall>(call.command)) {
        ++starts_[info.data_centre];
        starts_in_evacuated_ +=
            simulation_.evacuated.contains(info.data_centre) ? 1 : 0;
      }
    };
    // The workers are listed and polled.
    simulation_.Run(1000);
  }

  [[nodiscard]] auto RunningIn(const std::string& data_centre) const
      -> std::size_t {
    std::size_t count = 0;
    for (const auto& [id, worker] : simulation_.workers) {
      count +=
          worker.info().data_centre == data_centre ? worker.runs().size() : 0;
    }
    return count;
  }

  [[nodiscard]] auto IsDone(const std::string& job) const -> bool {
    return simulation_.PhaseOf(job) == JobPhase::kCompleted;
  }

  auto ExpectSound() const -> void {
    EXPECT_EQ(starts_in_evacuated_, 0);
    EXPECT_EQ(simulation_.invariants.violations, std::vector<std::string>{});
  }

  static constexpr int kWorkers = 4;
  DispatchSimulation simulation_;
  std::map<std::string, int> starts_;
  int starts_in_evacuated_ = 0;
};

// The scheduler did not know of evacuations and started tasks there.
TEST_F(EvacuationTest, TasksStartElsewhereAndRunningOnesEndThere) {
  simulation_.Submit("before", "batch", {DispatchSimulation::Step(4, 8, 3000)});
  simulation_.Run(500);
  EXPECT_EQ(RunningIn("a"), 2U);
  simulation_.SetEvacuated({"a"});
  simulation_.Submit("after", "batch", {DispatchSimulation::Step(4, 8, 1000)});
  simulation_.Run(1000);
  EXPECT_EQ(RunningIn("a"), 2U);
  ASSERT_TRUE(simulation_.RunUntil(
      [&] { return IsDone("before") && IsDone("after"); }, 10000));
  EXPECT_EQ(starts_.at("a"), 2);
  ExpectSound();
}

// A reclaim of guaranteed capacity has to count without the evacuated workers:
// it evicts at the others instead of waiting for room that must not be used.
TEST_F(EvacuationTest, GuaranteedWorkEvictsWhereItMayStart) {
  simulation_.SetGuarantees({{"council", 16}});
  simulation_.SetEvacuated({"a"});
  simulation_.Submit("borrower", "idle",
                     {DispatchSimulation::Step(2, 8, 20000)}, "other");
  simulation_.Run(1000);
  EXPECT_EQ(RunningIn("b"), 2U);
  simulation_.Submit("owed", "urgent", {DispatchSimulation::Gang(2, 8, 1000)});
  EXPECT_TRUE(
      simulation_.RunUntil([&] { return simulation_.RunsOf("owed") == 2; },
                           DispatchSimulation::Settings().reclaim_ms));
  ExpectSound();
}

TEST_F(EvacuationTest, WorkersAreUsedAgainOnceTheyAreTakenBack) {
  simulation_.SetEvacuated({"a", "b", "nowhere"});
  simulation_.Submit("job", "urgent", {DispatchSimulation::Step(4, 8, 1000)});
  simulation_.Run(5000);
  EXPECT_EQ(simulation_.RunsOf("job"), 0);
  simulation_.SetEvacuated({"b", "nowhere"});
  EXPECT_TRUE(simulation_.RunUntil([&] { return RunningIn("a") == 2; }, 500));
  simulation_.SetEvacuated({"a"});
  EXPECT_TRUE(simulation_.RunUntil([&] { return RunningIn("b") == 2; }, 500));
  ExpectSound();
}

// The rows of a placement were stored only after the evacuation, and its starts
// were sent then.
TEST_F(EvacuationTest, StartsThatAwaitTheStoreAreWithdrawn) {
  simulation_.store_ms = 400;
  simulation_.Submit("job", "batch", {DispatchSimulation::Step(4, 8, 1000)});
  simulation_.Submit("gang", "batch", {DispatchSimulation::Gang(2, 8, 1000)});
  // Accepted, stored, placed; the placement is being stored.
  simulation_.Run(700);
  simulation_.SetEvacuated({"a"});
  simulation_.SetEvacuated({});
  simulation_.SetEvacuated({"a"});
  ASSERT_TRUE(simulation_.RunUntil(
      [&] { return IsDone("job") && IsDone("gang"); }, 20000));
  ExpectSound();
}

struct LostAnswerCase {
  const char* name;
  bool gang;
};

class LostStartAnswer : public EvacuationTest,
                        public testing::WithParamInterface<LostAnswerCase> {};

// A start without an answer is repeated, also seconds later. The repeated one
// would begin the task in the evacuated data centre. Members of the gang that
// had begun elsewhere would wait for it until they end as failed.
TEST_P(LostStartAnswer, IsNotRepeatedInAnEvacuatedDataCentre) {
  simulation_.faults.lost = 1;
  auto step = DispatchSimulation::Step(4, 8, 1000);
  step.gang = GetParam().gang;
  simulation_.Submit("job", "urgent", {step});
  simulation_.Run(300);
  EXPECT_GT(starts_["a"], 0);
  simulation_.SetEvacuated({"a"});
  simulation_.faults.lost = 0;
  if (GetParam().gang) {
    // Only the whole fleet has room for it.
    simulation_.Run(5000);
    EXPECT_EQ(simulation_.RunsOf("job"), 0);
    simulation_.SetEvacuated({});
  }
  ASSERT_TRUE(simulation_.RunUntil([&] { return IsDone("job"); }, 20000));
  EXPECT_EQ(simulation_.gang_timeouts, 0);
  ExpectSound();
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         LostStartAnswer,
                         testing::Values(LostAnswerCase{"Tasks", false},
                                         LostAnswerCase{"Gang", true}),
                         [](const auto& test) { return test.param.name; });

// A new holder starts nothing there, and leaves what its predecessor started.
TEST_F(EvacuationTest, HoldsAcrossATakeover) {
  simulation_.Submit("before", "batch", {DispatchSimulation::Step(4, 8, 6000)});
  simulation_.Run(500);
  simulation_.SetEvacuated({"a"});
  simulation_.Submit("after", "batch", {DispatchSimulation::Step(4, 8, 1000)});
  simulation_.Run(200);
  simulation_.ReplaceHolder();
  ASSERT_TRUE(simulation_.RunUntil(
      [&] { return IsDone("before") && IsDone("after"); }, 30000));
  EXPECT_EQ(starts_.at("a"), 2);
  ExpectSound();
}

// A holder that cannot read the operators' table keeps its runs alive, but
// starts nothing until it has read it.
TEST_F(EvacuationTest, StartsAreHeldBackWhileEvacuationsAreUnknown) {
  simulation_.Submit("before", "batch", {DispatchSimulation::Step(2, 8, 9000)});
  simulation_.Run(500);
  simulation_.holds_starts = true;
  simulation_.Submit("after", "urgent", {DispatchSimulation::Step(2, 8, 1000)});
  simulation_.Run(8000);
  EXPECT_EQ(simulation_.RunsOf("after"), 0);
  EXPECT_EQ(simulation_.RunsOf("before"), 2);
  simulation_.holds_starts = false;
  EXPECT_TRUE(simulation_.RunUntil(
      [&] { return simulation_.RunsOf("after") == 2; }, 500));
  ExpectSound();
}

// A listing moved a worker into an evacuated data centre after a task was
// placed there. The start was neither sent nor withdrawn, so that the task
// waited until the data centre was taken back.
TEST_F(EvacuationTest, StartsAreWithdrawnIfTheirWorkerIsListedThereLater) {
  simulation_.SetEvacuated({"c"});
  simulation_.holds_starts = true;
  simulation_.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 1000)});
  simulation_.Submit("gang", "batch", {DispatchSimulation::Gang(2, 8, 1000)});
  simulation_.Run(300);
  int moved = 0;
  for (const auto& [id, session] : simulation_.dispatcher().sessions()) {
    if (!session.is_idle() && moved < 2) {
      ++moved;
      simulation_.workers.at(id).info().data_centre = "c";
    }
  }
  ASSERT_EQ(moved, 2);
  simulation_.Run(500);
  simulation_.holds_starts = false;
  EXPECT_TRUE(simulation_.RunUntil(
      [&] { return IsDone("job") && IsDone("gang"); }, 10000));
  EXPECT_EQ(simulation_.gang_timeouts, 0);
  ExpectSound();
}

// Guards against an operator who is told that nothing runs there although a new
// holder has not asked the workers yet.
TEST_F(EvacuationTest, ReportTellsWhatIsLeftAndWhenItIsEmpty) {
  const auto report = [&](std::size_t max_jobs) {
    return ReportEvacuations(simulation_.dispatcher(), max_jobs);
  };
  simulation_.Submit("one", "batch", {DispatchSimulation::Step(2, 8, 6000)});
  simulation_.Submit("two", "batch", {DispatchSimulation::Step(2, 8, 6000)});
  simulation_.Run(500);
  EXPECT_TRUE(report(9).empty());
  simulation_.SetEvacuated({"a", "b", "nowhere"});
  const auto all = report(9);
  ASSERT_EQ(all.size(), 3U);
  EXPECT_TRUE(all.at("nowhere").is_empty);
  std::size_t runs = 0;
  for (const auto* data_centre : {"a", "b"}) {
    const auto& part = all.at(data_centre);
    EXPECT_EQ(part.workers, 2U);
    EXPECT_EQ(part.silent_workers, 0U);
    EXPECT_EQ(part.runs, 2U);
    EXPECT_EQ(part.other_jobs, 0U);
    EXPECT_FALSE(part.is_empty);
    for (const auto& [job, count] : part.runs_by_job) {
      runs += count;
    }
  }
  EXPECT_EQ(runs, 4U);
  EXPECT_TRUE(report(0).at("a").runs_by_job.empty());
  EXPECT_GT(report(0).at("a").other_jobs, 0U);
  simulation_.ReplaceHolder();
  EXPECT_FALSE(report(9).at("a").is_empty) << "the fleet is not known";
  EXPECT_FALSE(report(9).at("nowhere").is_empty) << "the fleet is not known";
  simulation_.Run(1000);
  EXPECT_EQ(report(9).at("a").runs, 2U);
  ASSERT_TRUE(simulation_.RunUntil(
      [&] { return report(9).at("a").is_empty && report(9).at("b").is_empty; },
      10000));
  EXPECT_TRUE(IsDone("one"));
  EXPECT_TRUE(IsDone("two"));
  ExpectSound();
}

}  // namespace
}  // namespace kcm::dispatch
