#include "LibState/fold.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "LibState/table_fold.h"

namespace kcm::state {
namespace {

/// A record of any kind and version, with ids and accounts that repeat.
auto AnyRecord() -> rc::Gen<core::Json> {
  return rc::gen::exec([] {
    AccountRow row;
    row.account = "account-" + std::to_string(*rc::gen::inRange(0, 3));
    row.version = *rc::gen::inRange(0, 4);
    row.weight = *rc::gen::inRange(1, 100);
    if (*rc::gen::inRange(0, 4) == 0) {
      row.guarantees.push_back({"hobart-a", 1, {}});
    }
    Fleet fleet;
    fleet.version = *rc::gen::inRange(0, 3);
    const auto kind = *rc::gen::inRange(0, 6);
    core::Json raw = MakeRecord(RecordKind::kRowEdited, "operator", row);
    raw["id"] = "rec-" + std::to_string(*rc::gen::inRange(0, 60));
    raw["at"] = 7;
    if (kind == 0) {
      raw["kind"] = "of_a_newer_version";
    } else if (kind == 1) {
      raw["format"] = 99;
    } else if (kind == 2) {
      raw["kind"] = "fleet_recorded";
      raw["body"] = fleet;
    } else if (kind == 3) {
      raw["body"] = "of another shape";
    }
    return raw;
  });
}

RC_GTEST_PROP(Fold, ReachesTheSameStateThroughSnapshotsAtAnyPoint, ()) {
  const auto records =
      *rc::gen::container<std::vector<core::Json>>(AnyRecord());
  TableFold straight;
  TableFold restarted;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const auto offset = static_cast<std::int64_t>(i);
    const auto first = straight.Apply(offset, ReadRecord(records[i]));
    const auto second = restarted.Apply(offset, ReadRecord(records[i]));
    RC_ASSERT(first.accepted == second.accepted);
    RC_ASSERT(first.reason.message == second.reason.message);
    if (*rc::gen::inRange(0, 4) == 0) {
      TableFold fresh;
      RC_ASSERT(
          fresh.LoadSnapshot(core::Json::parse(restarted.ToSnapshot().dump())));
      restarted = fresh;
    }
    RC_ASSERT(straight.results_digest() == restarted.results_digest());
  }
  RC_ASSERT(straight.Digest() == restarted.Digest());
  RC_ASSERT(straight.ToSnapshot() == restarted.ToSnapshot());
}

RC_GTEST_PROP(Fold, RejectsOlderSnapshots, ()) {
  const auto records =
      *rc::gen::container<std::vector<core::Json>>(AnyRecord());
  TableFold fold;
  std::vector<core::Json> snapshots = {fold.ToSnapshot()};
  for (std::size_t i = 0; i < records.size(); ++i) {
    (void)fold.Apply(static_cast<std::int64_t>(i), ReadRecord(records[i]));
    snapshots.push_back(fold.ToSnapshot());
  }
  const auto version = fold.version();
  const auto digest = fold.Digest();
  const auto pick = *rc::gen::inRange<std::size_t>(0, snapshots.size());
  RC_ASSERT(fold.LoadSnapshot(snapshots[pick]) ==
            (pick + 1 == snapshots.size()));
  RC_ASSERT(fold.version() == version);
  RC_ASSERT(fold.Digest() == digest);
}

TEST(Fold, KeepsRecordsOfNewerVersionsInItsSnapshot) {
  core::Json raw = MakeRecord(RecordKind::kRowEdited, "operator", AccountRow{});
  raw["kind"] = "of_a_newer_version";
  raw["added_member"] = 5;
  TableFold fold;
  EXPECT_TRUE(fold.Apply(0, ReadRecord(raw)).accepted);
  EXPECT_EQ(fold.ToSnapshot().at("unknown").at(0), raw);
}

TEST(Fold, AppliesRecordsThatAnOlderVersionKept) {
  AccountRow row;
  row.account = "council";
  TableFold older;
  auto snapshot = older.ToSnapshot();
  snapshot["unknown"] = {MakeRecord(RecordKind::kRowEdited, "operator", row)};
  TableFold newer;
  ASSERT_TRUE(newer.LoadSnapshot(snapshot));
  EXPECT_NE(newer.FindRow("council"), nullptr);
}

}  // namespace
}  // namespace kcm::state
