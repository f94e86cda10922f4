// Whether a job counts as running or as pending.

#include <gtest/gtest.h>

#include <cstdlib>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

/// What becomes of the only task of a job once it is placed.
enum class Fate : std::uint8_t {
  /// The store is down, so that its start is not sent.
  kNotStored,
  /// Its worker refuses all starts.
  kRefused,
  /// Its worker never receives the start.
  kStartLost,
  /// The answer to its start is lost.
  kAnswerLost,
  kBegun,
  /// It begins, and then gives way to an urgent job.
  kEvicted,
};

struct BegunCase {
  const char* name;
  Fate fate;
  /// A new holder takes over, which the worker does not answer.
  bool takeover;
  JobPhase phase;
};

class JobBegun : public testing::TestWithParam<BegunCase> {
 protected:
  JobBegun() {
    simulation_.verbose = std::getenv("KCM_VERBOSE") != nullptr;
    simulation_.AddWorkers(1);
    simulation_.Run(1000);
  }

  auto RunUntilBegun() -> bool {
    return simulation_.RunUntil(
        [&] { return simulation_.invariants.HasBegun("job"); }, 2000);
  }

  /// Submits a job and lets its task meet its fate.
  auto Play(Fate fate) -> void {
    simulation_.store_up = fate != Fate::kNotStored;
    simulation_.workers.at("w0").set_refuses_starts(fate == Fate::kRefused);
    simulation_.on_call = [&](const WorkerCall& call) {
      if (std::holds_alternative<StartCall>(call.command)) {
        simulation_.faults.lost = fate == Fate::kAnswerLost ? 1 : 0;
        if (fate == Fate::kStartLost) {
          simulation_.unreachable.insert("w0");
        }
      }
    };
    simulation_.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 60000)});
    if (fate >= Fate::kAnswerLost) {
      ASSERT_TRUE(RunUntilBegun());
      simulation_.faults.lost = 0;
      simulation_.on_call = nullptr;
    }
    simulation_.Run(1500);
    if (fate == Fate::kEvicted) {
      simulation_.Submit("urgent", "urgent",
                         {DispatchSimulation::Step(1, 8, 60000)});
      ASSERT_TRUE(simulation_.RunUntil(
          [&] { return simulation_.RunsOf("job") == 0; }, 2000));
    }
  }

  DispatchSimulation simulation_;
};

// Guards against a number of pending jobs that leaves out jobs that have not
// begun, which are shown as running: a job counted as begun once it was placed,
// also if its start was refused, lost or never sent.
TEST_P(JobBegun, IsWhatAWorkerHasShown) {
  Play(GetParam().fate);
  if (GetParam().takeover) {
    simulation_.unreachable_for_newest.insert("w0");
    simulation_.ReplaceHolder();
    simulation_.Run(500);
  }
  EXPECT_EQ(simulation_.PhaseOf("job"), GetParam().phase);
  EXPECT_EQ(simulation_.dispatcher().PendingByQueue()["batch"],
            GetParam().phase == JobPhase::kQueued ? 1 : 0);
  EXPECT_EQ(simulation_.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    JobBegun,
    testing::Values(
        BegunCase{"NotStored", Fate::kNotStored, false, JobPhase::kQueued},
        BegunCase{"Refused", Fate::kRefused, false, JobPhase::kQueued},
        BegunCase{"StartLost", Fate::kStartLost, false, JobPhase::kQueued},
        BegunCase{"AnswerLost", Fate::kAnswerLost, false, JobPhase::kRunning},
        BegunCase{"Begun", Fate::kBegun, false, JobPhase::kRunning},
        BegunCase{"Evicted", Fate::kEvicted, false, JobPhase::kRunning},
        BegunCase{"RefusedBeforeATakeover", Fate::kRefused, true,
                  JobPhase::kQueued},
        BegunCase{"StartLostBeforeATakeover", Fate::kStartLost, true,
                  JobPhase::kQueued},
        BegunCase{"BegunBeforeATakeover", Fate::kBegun, true,
                  JobPhase::kRunning},
        BegunCase{"EvictedBeforeATakeover", Fate::kEvicted, true,
                  JobPhase::kRunning}),
    [](const auto& info) { return info.param.name; });

// Guards against appends for the mark alone, which delayed those of other jobs
// and made a quiet day worth less.
TEST(JobBegunRow, WaitsForOtherRows) {
  JobTable table;
  JobSpec spec;
  spec.id = "job";
  spec.steps = {DispatchSimulation::Step(2, 1, 1000)};
  auto& job = table.AddJob(spec);
  std::ignore = table.TakeRows();
  table.RecordBegun({"job", 0, 0, 1});
  EXPECT_FALSE(table.has_rows());
  EXPECT_TRUE(table.has_deferred_rows());
  table.StoreTask(job, job.steps[0], 0);
  const auto rows = table.TakeRows();
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_FALSE(table.has_deferred_rows());
  JobTable next;
  const auto spec_row = [&] {
    JobTable other;
    other.AddJob(spec);
    return other.TakeRows()[0];
  }();
  next.Load({spec_row, rows[0], rows[1]},
            [](const std::string&, const core::Reason&) { FAIL(); });
  EXPECT_TRUE(next.FindJob("job")->has_begun);
}

}  // namespace
}  // namespace kcm::dispatch
