#include "LibSchedule/planner.h"

#include <gtest/gtest.h>

#include "cell_driver.h"

namespace kcm::schedule {
namespace {

using state::Adjacency;
using state::Recovery;

TEST(Planner, ReclaimPreemptsTheCheapestBorrowersOnce) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(2, 1));
  cell.SetRows({RowOf("council", {ShapeOf(1, 8)}), RowOf("parks", {})});
  cell.Submit("old", "parks", ShapeOf(1, 8), Recovery::kRestartable);
  cell.Plan();
  cell.now += 50000;
  cell.Submit("young", "parks", ShapeOf(1, 8), Recovery::kRestartable);
  cell.Plan();
  cell.Submit("guaranteed", "council", ShapeOf(1, 8), Recovery::kNone);
  cell.Plan();
  EXPECT_EQ(cell.preempting, std::set<std::string>{"young"});
  cell.now += kTick;
  EXPECT_TRUE(cell.Plan().empty());
  EXPECT_NE(
      cell.planner.Explain("guaranteed", cell.now).find("reclaimed from 1"),
      std::string::npos);
  cell.Requeue("young");
  cell.Plan();
  EXPECT_TRUE(cell.running.contains("guaranteed"));
  EXPECT_FALSE(cell.running.contains("young"));
}

struct BorrowCase {
  const char* name;
  Recovery recovery;
  bool may_borrow;
  bool runs;
};

class PlannerBorrow : public testing::TestWithParam<BorrowCase> {};

TEST_P(PlannerBorrow, NeedsAPreemptibleJobAndARowThatMayBorrow) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(1, 1));
  cell.SetRows({RowOf("council", {ShapeOf(1, 8)}),
                RowOf("parks", {}, GetParam().may_borrow)});
  cell.Submit("borrower", "parks", ShapeOf(1, 2), GetParam().recovery);
  cell.Plan();
  EXPECT_EQ(cell.running.contains("borrower"), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    PlannerBorrow,
    testing::Values(
        BorrowCase{"Checkpointable", Recovery::kCheckpointable, true, true},
        BorrowCase{"Restartable", Recovery::kRestartable, true, true},
        BorrowCase{"None", Recovery::kNone, true, false},
        BorrowCase{"RowForbids", Recovery::kRestartable, false, false}),
    [](const auto& info) { return info.param.name; });

struct SpanCase {
  const char* name;
  state::Shape shape;
  bool fits;
};

class PlannerSpan : public testing::TestWithParam<SpanCase> {};

TEST_P(PlannerSpan, RefusesOnlyShapesThatExceedTheEmptyFleet) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(3, 2));
  cell.Submit("job", "parks", GetParam().shape, Recovery::kNone);
  cell.jobs["job"].spec.account = "parks";
  auto row = RowOf("parks", {});
  cell.SetRows({row});
  cell.Plan();
  EXPECT_EQ(cell.running.contains("job"), GetParam().fits);
  EXPECT_EQ(cell.refused.contains("job"), !GetParam().fits);
}

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    PlannerSpan,
    testing::Values(
        SpanCase{"Worker", ShapeOf(2, 4, Adjacency::kSameWorker), true},
        SpanCase{"BeyondWorker", ShapeOf(3, 4, Adjacency::kSameWorker), false},
        SpanCase{"Rack", ShapeOf(2, 8, Adjacency::kSameRack), true},
        SpanCase{"BeyondRack", ShapeOf(3, 8, Adjacency::kSameRack), false},
        SpanCase{"Pair", ShapeOf(4, 8, Adjacency::kNeighbouringRacks), true},
        SpanCase{"BeyondPair", ShapeOf(5, 8, Adjacency::kNeighbouringRacks),
                 false},
        SpanCase{"All", ShapeOf(6, 8, Adjacency::kAnywhere), true},
        SpanCase{"BeyondAll", ShapeOf(7, 8, Adjacency::kAnywhere), false}),
    [](const auto& info) { return info.param.name; });

TEST(Planner, UrgentWorkPreemptsWithinItsQuota) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(1, 2));
  auto row = RowOf("council", {});
  row.urgent_accelerators = 8;
  cell.SetRows({row, RowOf("parks", {})});
  cell.Submit("a", "parks", ShapeOf(1, 8), Recovery::kCheckpointable);
  cell.Submit("b", "parks", ShapeOf(1, 8), Recovery::kCheckpointable);
  cell.Plan();
  cell.Submit("urgent-1", "council", ShapeOf(1, 8), Recovery::kNone, 1000,
              true);
  cell.Submit("urgent-2", "council", ShapeOf(1, 8), Recovery::kNone, 1000,
              true);
  cell.Plan();
  ASSERT_EQ(cell.preempting.size(), 1U);
  cell.Requeue(std::string(*cell.preempting.begin()));
  cell.Plan();
  EXPECT_TRUE(cell.running.contains("urgent-1"));
  EXPECT_TRUE(cell.preempting.empty());
  EXPECT_NE(cell.planner.Explain("urgent-2", cell.now).find("urgent limit"),
            std::string::npos);
}

TEST(Planner, SharesByWeightBeyondGuarantees) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(1, 3));
  auto heavy = RowOf("council", {});
  heavy.weight = 2;
  cell.SetRows({heavy, RowOf("parks", {})});
  for (int i = 0; i < 24; ++i) {
    for (const auto* account : {"council", "parks"}) {
      cell.Submit(account + std::to_string(i), account, ShapeOf(1, 1),
                  Recovery::kNone);
    }
  }
  cell.Plan();
  EXPECT_EQ(cell.planner.state().usage.accelerators("council"), 16);
  EXPECT_EQ(cell.planner.state().usage.accelerators("parks"), 8);
}

TEST(Planner, AdoptsRunningGangsInAnyOrder) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(1, 2));
  cell.SetRows({RowOf("council", {ShapeOf(1, 8)}), RowOf("parks", {})});
  cell.Submit("guaranteed", "council", ShapeOf(1, 8), Recovery::kNone);
  cell.Submit("more", "council", ShapeOf(1, 8), Recovery::kCheckpointable);
  cell.Plan();
  CellDriver next;
  next.planner.SetFleet(FleetOf(1, 2));
  next.SetRows({RowOf("council", {ShapeOf(1, 8)}), RowOf("parks", {})});
  next.planner.JobPlaced(cell.jobs["more"], 1000);
  next.planner.JobPlaced(cell.jobs["guaranteed"], 1000);
  EXPECT_TRUE(next.Plan().empty());
  EXPECT_EQ(next.FindViolation(), "");
  EXPECT_EQ(next.planner.state().gangs.at("guaranteed").allocation_class,
            AllocationClass::kGuaranteed);
  EXPECT_EQ(next.planner.state().gangs.at("more").allocation_class,
            AllocationClass::kBorrowed);
}

TEST(Planner, ExplainsFreeCapacityInNumbers) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(2, 2));
  cell.SetRows({RowOf("parks", {})});
  for (int i = 0; i < 4; ++i) {
    cell.Submit("a" + std::to_string(i), "parks", ShapeOf(1, 5),
                Recovery::kNone);
  }
  cell.Plan();
  cell.Submit("job", "parks", ShapeOf(4, 2), Recovery::kNone);
  cell.Plan();
  const auto why = cell.planner.Explain("job", cell.now + 30);
  EXPECT_NE(why.find("Waits for 30 ms"), std::string::npos);
  EXPECT_NE(why.find("4 members with 2 accelerators each in one rack, and the "
                     "best has room for 2"),
            std::string::npos);
}

}  // namespace
}  // namespace kcm::schedule
