#include <gtest/gtest.h>

#include "LibSchedule/planner.h"
#include "cell_driver.h"

namespace kcm::schedule {
namespace {

using state::Recovery;

struct StreamCase {
  const char* name;
  Recovery recovery;
  /// Actual and declared run time of the small jobs.
  core::Millis run_ms;
  core::Millis declared_ms;
};

class PlannerStream : public testing::TestWithParam<StreamCase> {};

/// Requeues preempted gangs, ends those that ran their time, then plans.
auto Advance(CellDriver& cell,
             std::map<std::string, core::Millis>& ends,
             core::Millis run_ms) -> void {
  cell.now += kTick;
  const auto preempting = cell.preempting;
  for (const auto& id : preempting) {
    ends.erase(id);
    cell.Requeue(id);
  }
  for (const auto& id : cell.running) {
    ends.try_emplace(id, cell.now + run_ms);
  }
  const auto due = ends;
  for (const auto& [id, at] : due) {
    if (at <= cell.now) {
      ends.erase(id);
      cell.End(id);
    }
  }
  cell.Plan();
}

TEST_P(PlannerStream, LargeGangStartsWithinTheStatedBound) {
  PolicySettings settings;
  CellDriver cell(settings);
  cell.planner.SetFleet(FleetOf(2, 4));
  cell.SetRows({RowOf("parks", {}), RowOf("depot", {})});
  std::map<std::string, core::Millis> ends;
  int serial = 0;
  const auto add_small = [&] {
    // The load is twice the capacity of the fleet.
    const auto jobs =
        std::max<core::Millis>(kTick * 2 * 64 / GetParam().run_ms, 1);
    for (core::Millis i = 0; i < jobs; ++i) {
      ++serial;
      cell.Submit("small-" + std::to_string(serial),
                  serial % 2 == 0 ? "parks" : "depot", ShapeOf(1, 1),
                  GetParam().recovery, GetParam().declared_ms);
    }
  };
  while (cell.now < 30000) {
    add_small();
    Advance(cell, ends, GetParam().run_ms);
  }
  cell.Submit("large", "parks", ShapeOf(4, 8), Recovery::kNone, 60000);
  const auto since = cell.now;
  // One planning pass each for the reservation, preemption and placement.
  const auto bound =
      settings.reserve_after_ms +
      std::max(settings.reservation_preempt_after_ms, GetParam().run_ms) +
      settings.reclaim_bound_ms + 3 * kTick;
  while (!cell.running.contains("large") && cell.now - since <= bound) {
    add_small();
    Advance(cell, ends, GetParam().run_ms);
  }
  EXPECT_TRUE(cell.running.contains("large"))
      << cell.planner.Explain("large", cell.now);
  RecordProperty("wait_ms", std::to_string(cell.now - since));
}

INSTANTIATE_TEST_SUITE_P(
    SmallJobs,
    PlannerStream,
    testing::Values(
        StreamCase{"ShortNone", Recovery::kNone, 5000, 5000},
        StreamCase{"ShortUnderstated", Recovery::kNone, 5000, 500},
        StreamCase{"LongNone", Recovery::kNone, 120000, 120000},
        StreamCase{"ShortCheckpointable", Recovery::kCheckpointable, 5000,
                   5000},
        StreamCase{"LongUnderstated", Recovery::kCheckpointable, 120000, 12000},
        StreamCase{"LongOverstated", Recovery::kRestartable, 120000, 1200000}),
    [](const auto& info) { return info.param.name; });

TEST(PlannerOverload, MassCancellationReleasesAllState) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(7, 8));
  cell.SetRows({RowOf("parks", {}), RowOf("depot", {})});
  for (int i = 0; i < 5000; ++i) {
    cell.Submit("wave-" + std::to_string(i), "parks", ShapeOf(1, 4),
                Recovery::kNone);
  }
  cell.Plan();
  cell.Submit("next", "depot", ShapeOf(8, 8), Recovery::kNone);
  for (int i = 0; i < 5000; ++i) {
    cell.End("wave-" + std::to_string(i), state::JobStatus::kCancelled);
  }
  const auto actions = cell.Plan();
  EXPECT_EQ(actions.size(), 1U);
  EXPECT_TRUE(cell.running.contains("next"));
  EXPECT_EQ(cell.planner.state().waiting.size(), 0U);
  EXPECT_EQ(cell.planner.state().gangs.size(), 1U);
  EXPECT_EQ(cell.planner.state().usage.accelerators("parks"), 0);
  EXPECT_EQ(cell.FindViolation(), "");
}

/// All jobs fail on one worker and one job fails on all workers.
TEST(PlannerOverload, CordonsTheFailingWorkerAndRefusesTheFailingJob) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(2, 3));
  cell.SetRows({RowOf("council", {}), RowOf("parks", {}), RowOf("depot", {})});
  const std::string bad_worker = "w0-0";
  int failures = 0;
  for (int i = 0; i < 60; ++i) {
    const std::vector<std::string> accounts = {"council", "parks", "depot"};
    cell.Submit("job-" + std::to_string(i), accounts[i % 3], ShapeOf(1, 3),
                Recovery::kRestartable);
  }
  cell.Submit("never", "parks", ShapeOf(1, 3), Recovery::kRestartable);
  for (int round = 0; round < 40; ++round) {
    cell.now += kTick;
    cell.Plan();
    const auto running = cell.running;
    for (const auto& id : running) {
      const auto worker = cell.jobs[id].members.front().worker;
      if (worker == bad_worker || id == "never") {
        ++failures;
        cell.planner.AttemptFailed(cell.jobs[id], worker, cell.now);
        cell.Requeue(id);
      } else {
        cell.End(id);
      }
    }
  }
  EXPECT_EQ(cell.cordoned, std::set<std::string>{bad_worker});
  ASSERT_EQ(cell.refused.size(), 1U);
  EXPECT_TRUE(cell.refused.contains("never"));
  EXPECT_EQ(cell.jobs.size(), 1U) << "all but the refused job ran";
  EXPECT_LE(failures, 10);
  cell.planner.UncordonWorker(bad_worker);
  cell.Submit("back", "parks", ShapeOf(6, 8, state::Adjacency::kAnywhere),
              Recovery::kNone);
  cell.Plan();
  EXPECT_TRUE(cell.running.contains("back"));
}

TEST(PlannerOverload, CorrectsOverstatedAndUnderstatedRunTimes) {
  RunTimeEstimate estimate;
  for (int i = 0; i < 40; ++i) {
    estimate.RecordRunTime("over", 10000, 1000);
    estimate.RecordRunTime("under", 1000, 10000);
  }
  EXPECT_NEAR(estimate.ExpectedRunTime("over", 20000), 2000, 20);
  EXPECT_NEAR(estimate.ExpectedRunTime("under", 2000), 20000, 200);
  EXPECT_EQ(estimate.ExpectedRunTime("unknown", 2000), 2000);
}

}  // namespace
}  // namespace kcm::schedule
