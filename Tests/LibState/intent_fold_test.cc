#include "LibState/intent_fold.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace kcm::state {
namespace {

auto Recorded(const std::string& attempt) -> Record {
  Intent intent;
  intent.account = "council";
  intent.key = "bill-1";
  intent.attempt = attempt;
  return MakeRecord(RecordKind::kIntentRecorded, "entry-1/gateway", intent);
}

auto Resolved(const std::string& attempt, const std::string& conclusion)
    -> Record {
  auto record = Recorded(attempt);
  record.kind = RecordKind::kIntentResolved;
  record.body["conclusion"] = conclusion;
  record.body["resolved"] = true;
  return record;
}

struct Case {
  const char* name;
  std::vector<Record> records;
  /// Whether the fold accepts each record.
  std::vector<bool> accepted;
};

class IntentFoldCase : public testing::TestWithParam<Case> {};

TEST_P(IntentFoldCase, AppliesInLogOrder) {
  IntentFold fold;
  for (std::size_t i = 0; i < GetParam().records.size(); ++i) {
    const auto result =
        fold.Apply(static_cast<std::int64_t>(i), GetParam().records[i]);
    EXPECT_EQ(result.accepted, GetParam().accepted[i]) << "record " << i;
  }
  IntentFold copy;
  ASSERT_TRUE(copy.LoadSnapshot(fold.ToSnapshot()));
  EXPECT_EQ(copy.Digest(), fold.Digest());
}

INSTANTIATE_TEST_SUITE_P(
    Histories,
    IntentFoldCase,
    testing::Values(
        Case{"SecondGateway", {Recorded("a"), Recorded("b")}, {true, false}},
        Case{"AfterDone",
             {Recorded("a"), Resolved("a", "done"), Recorded("b")},
             {true, true, false}},
        Case{"AfterUnknown",
             {Recorded("a"), Resolved("a", "unknown"), Recorded("b")},
             {true, true, false}},
        Case{"AfterNotRun",
             {Recorded("a"), Resolved("a", "not_run"), Recorded("b")},
             {true, true, true}},
        // A late "not run" of one attempt must not release another's key.
        Case{"LateOutcomeOfAnotherAttempt",
             {Recorded("b"), Resolved("a", "not_run"), Recorded("c")},
             {true, false, false}},
        Case{"OutcomeBeforeItsIntent",
             {Resolved("a", "not_run"), Recorded("a"), Recorded("b")},
             {false, true, false}}),
    [](const auto& info) { return info.param.name; });

TEST(IntentFold, DropsTheOldestBodiesAndKeepsTheirConclusions) {
  constexpr int kIntents = 40;
  constexpr std::size_t kBodyBytes = 512ULL * 1024;
  IntentFold fold;
  std::int64_t offset = 0;
  for (int i = 0; i < kIntents; ++i) {
    auto recorded = Recorded("a");
    auto resolved = Resolved("a", "done");
    recorded.body["key"] = resolved.body["key"] = std::to_string(i);
    resolved.body["body_base64"] = std::string(kBodyBytes, 'A');
    ASSERT_TRUE(fold.Apply(offset++, recorded).accepted);
    ASSERT_TRUE(fold.Apply(offset++, resolved).accepted);
  }
  EXPECT_FALSE(fold.FindIntent("council", "0")->body_recorded);
  EXPECT_EQ(fold.FindIntent("council", "0")->conclusion, "done");
  EXPECT_TRUE(fold.FindIntent("council", "39")->body_recorded);
}

}  // namespace
}  // namespace kcm::state
