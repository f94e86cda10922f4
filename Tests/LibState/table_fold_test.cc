#include "LibState/table_fold.h"

#include <gtest/gtest.h>

#include <string>

namespace kcm::state {
namespace {

auto EditOf(const std::string& account, std::int64_t version, double weight)
    -> Record {
  AccountRow row;
  row.account = account;
  row.version = version;
  row.weight = weight;
  return MakeRecord(RecordKind::kRowEdited, "operator", row);
}

struct EditCase {
  const char* name;
  std::int64_t presumed_version;
  bool accepted;
};

class TableFoldEdit : public testing::TestWithParam<EditCase> {};

TEST_P(TableFoldEdit, IsAcceptedOnlyAtTheCurrentVersion) {
  TableFold fold;
  ASSERT_TRUE(fold.Apply(0, EditOf("council", 0, 1)).accepted);
  ASSERT_TRUE(fold.Apply(1, EditOf("council", 1, 2)).accepted);
  const auto result =
      fold.Apply(2, EditOf("council", GetParam().presumed_version, 3));
  EXPECT_EQ(result.accepted, GetParam().accepted);
  EXPECT_EQ(fold.FindRow("council")->weight, GetParam().accepted ? 3 : 2);
}

INSTANTIATE_TEST_SUITE_P(Versions,
                         TableFoldEdit,
                         testing::Values(EditCase{"older", 1, false},
                                         EditCase{"present", 2, true},
                                         EditCase{"future", 3, false}),
                         [](const auto& info) { return info.param.name; });

TEST(TableFold, AppliesARecordAppendedTwiceOnce) {
  TableFold fold;
  const auto record = EditOf("council", 0, 1);
  EXPECT_TRUE(fold.Apply(0, record).accepted);
  EXPECT_FALSE(fold.Apply(1, record).accepted);
  EXPECT_EQ(fold.version(), 1);
}

TEST(TableFold, SnapshotGivesTheSameDigest) {
  TableFold fold;
  ASSERT_TRUE(fold.Apply(0, EditOf("council", 0, 1)).accepted);
  TableFold copy;
  EXPECT_TRUE(copy.LoadSnapshot(fold.ToSnapshot()));
  EXPECT_EQ(copy.Digest(), fold.Digest());
  EXPECT_EQ(copy.next_offset(), 1);
}

auto FleetOf(std::int64_t version, std::int64_t accelerators) -> Record {
  const WorkerRecord worker{"worker-1", "hobart-a", "rack-1",
                            64,         1048576,    accelerators};
  return MakeRecord(RecordKind::kFleetRecorded, "operator",
                    Fleet{version, {worker}});
}

auto GuaranteedRow(std::int64_t version, double weight, std::int64_t count)
    -> Record {
  AccountRow row;
  row.account = "council";
  row.version = version;
  row.weight = weight;
  if (count > 0) {
    row.guarantees = {{"hobart-a", count, Shape{1, 1, 1, 1024}}};
  }
  return MakeRecord(RecordKind::kRowEdited, "operator", row);
}

struct ShrunkFleetCase {
  const char* name;
  double weight;
  std::int64_t count;
  bool accepted;
};

class TableFoldShrunkFleet : public testing::TestWithParam<ShrunkFleetCase> {};

TEST_P(TableFoldShrunkFleet, RejectsOnlyEditsThatIncreaseGuarantees) {
  TableFold fold;
  ASSERT_TRUE(fold.Apply(0, FleetOf(0, 8)).accepted);
  ASSERT_TRUE(fold.Apply(1, GuaranteedRow(0, 1, 8)).accepted);
  ASSERT_TRUE(fold.Apply(2, FleetOf(1, 4)).accepted);
  const auto& edit = GetParam();
  const auto result = fold.Apply(3, GuaranteedRow(1, edit.weight, edit.count));
  EXPECT_EQ(result.accepted, edit.accepted) << result.reason.message;
}

INSTANTIATE_TEST_SUITE_P(Edits,
                         TableFoldShrunkFleet,
                         testing::Values(ShrunkFleetCase{"other_column", 2, 8,
                                                         true},
                                         ShrunkFleetCase{"fewer", 1, 6, true},
                                         ShrunkFleetCase{"none", 1, 0, true},
                                         ShrunkFleetCase{"more", 1, 9, false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::state
