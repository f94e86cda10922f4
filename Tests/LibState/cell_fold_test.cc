#include "LibState/cell_fold.h"

#include <gtest/gtest.h>

#include <string>

namespace kcm::state {
namespace {

constexpr std::int64_t kCancellations = 5000;

/// Appends records to the fold of one cell.
class Cell {
 public:
  auto Add(RecordKind kind, core::Json body) -> ApplyResult {
    return fold.Apply(fold.next_offset(),
                      MakeRecord(kind, "test", std::move(body)));
  }
  auto Submit(const std::string& id, Recovery recovery) -> ApplyResult {
    JobSpec spec;
    spec.account = "council";
    spec.idempotency_key = id;
    spec.recovery = recovery;
    return Add(RecordKind::kJobSubmitted, {{"job", id}, {"spec", spec}});
  }
  auto Place(const std::string& id, std::int64_t term, std::int64_t attempt)
      -> ApplyResult {
    return Add(
        RecordKind::kJobPlaced,
        {{"job", id},
         {"term", term},
         {"attempt", attempt},
         {"members", std::vector<Member>{{"worker", "rack", "l", {0}}}}});
  }

  CellFold fold;
};

/// Whether a requeue of an attempt is accepted.
struct RequeueCase {
  const char* name;
  Recovery recovery;
  bool started;
  const char* checkpoint;
  bool accepted;
};

class CellFoldRequeue : public testing::TestWithParam<RequeueCase> {};

TEST_P(CellFoldRequeue, IsAcceptedOnlyForRecoverableAttempts) {
  const auto& param = GetParam();
  Cell cell;
  ASSERT_TRUE(
      cell.Add(RecordKind::kTermClaimed, Term{1, "scheduler"}).accepted);
  ASSERT_TRUE(cell.Submit("job", param.recovery).accepted);
  ASSERT_TRUE(cell.Place("job", 1, 1).accepted);
  const auto result =
      cell.Add(RecordKind::kJobRequeued, {{"job", "job"},
                                          {"term", 1},
                                          {"attempt", 1},
                                          {"started", param.started},
                                          {"checkpoint", param.checkpoint}});
  EXPECT_EQ(result.accepted, param.accepted);
  EXPECT_EQ(cell.fold.waiting().contains("job"), param.accepted);
  EXPECT_EQ(cell.fold.placed().contains("job"), !param.accepted);
}

INSTANTIATE_TEST_SUITE_P(
    Recoveries,
    CellFoldRequeue,
    testing::Values(
        RequeueCase{"none", Recovery::kNone, true, "", false},
        RequeueCase{"none_with_checkpoint", Recovery::kNone, true, "c", false},
        RequeueCase{"none_not_started", Recovery::kNone, false, "", true},
        RequeueCase{"no_checkpoint", Recovery::kCheckpointable, true, "",
                    false},
        RequeueCase{"checkpoint", Recovery::kCheckpointable, true, "c", true},
        RequeueCase{"restartable", Recovery::kRestartable, true, "", true}),
    [](const auto& info) { return info.param.name; });

TEST(CellFold, RejectsPlacementsOfAnEarlierTerm) {
  Cell cell;
  ASSERT_TRUE(cell.Add(RecordKind::kTermClaimed, Term{1, "first"}).accepted);
  ASSERT_TRUE(cell.Submit("job", Recovery::kNone).accepted);
  ASSERT_TRUE(cell.Add(RecordKind::kTermClaimed, Term{2, "second"}).accepted);
  EXPECT_FALSE(cell.Add(RecordKind::kTermClaimed, Term{2, "first"}).accepted);
  EXPECT_FALSE(cell.Place("job", 1, 1).accepted);
  EXPECT_TRUE(cell.Place("job", 2, 1).accepted);
  EXPECT_FALSE(cell.Place("job", 2, 2).accepted);
}

TEST(CellFold, AppliesManyCancellations) {
  Cell cell;
  for (std::int64_t i = 0; i < kCancellations; ++i) {
    ASSERT_TRUE(
        cell.Submit("job-" + std::to_string(i), Recovery::kNone).accepted);
  }
  EXPECT_EQ(cell.fold.waiting().size(), kCancellations);
  for (std::int64_t i = 0; i < kCancellations; ++i) {
    const auto result = cell.Add(RecordKind::kJobCancelled,
                                 {{"job", "job-" + std::to_string(i)}});
    ASSERT_TRUE(result.accepted);
  }
  EXPECT_TRUE(cell.fold.waiting().empty());
}

TEST(CellFold, DropsTheOldestEndedJobsAndKeepsTheDigestOverASnapshot) {
  Cell cell;
  constexpr std::int64_t kJobs = 10010;
  for (std::int64_t i = 0; i < kJobs; ++i) {
    const auto id = "job-" + std::to_string(i);
    ASSERT_TRUE(cell.Submit(id, Recovery::kNone).accepted);
    ASSERT_TRUE(cell.Add(RecordKind::kJobCancelled, {{"job", id}}).accepted);
  }
  EXPECT_EQ(cell.fold.jobs().size(), 10000U);
  EXPECT_EQ(cell.fold.FindJob("job-9"), nullptr);
  EXPECT_NE(cell.fold.FindJob("job-10"), nullptr);
  EXPECT_EQ(cell.fold.FindJobByKey("council", "job-9"), nullptr);
  CellFold copy;
  ASSERT_TRUE(copy.LoadSnapshot(cell.fold.ToSnapshot()));
  EXPECT_EQ(copy.Digest(), cell.fold.Digest());
}

}  // namespace
}  // namespace kcm::state
