#include "LibEntry/table_follower.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"

namespace kcm::entry {
namespace {

struct FollowCase {
  const char* name;
  /// Rows that one read of changes returns at most.
  std::size_t rows_per_read;
};

class TableFollowerTest : public testing::TestWithParam<FollowCase> {};

// When a row was written bounds the silence of the worker that it lists. A time
// later than the write would make a worker that is cut off look as if it had
// left just after a heartbeat, and its task would run twice.
TEST_P(TableFollowerTest, TellsATimeBeforeEachChangeWasWritten) {
  net::EventLoop loop;
  FakeStore store(loop);
  store.change_rows = GetParam().rows_per_read;
  auto& table = store.tables[platform::Table::kFleet];
  table = {{"a", "1"}, {"b", "1"}};
  std::vector<RowBatch> batches;
  std::size_t rows = 0;
  const TableFollower follower(loop, store, {platform::Table::kFleet, 0, 2},
                               [&](const RowBatch& batch) {
                                 batches.push_back(batch);
                                 rows += batch.rows.size();
                               });
  const auto run_until_read = [&](std::size_t count) {
    while (rows < count) {
      loop.After(2, [&loop] { loop.Stop(); });
      loop.Run();
    }
  };
  run_until_read(2);
  ASSERT_EQ(batches.size(), 1U);
  EXPECT_TRUE(batches[0].whole);
  EXPECT_EQ(batches[0].written_after, std::nullopt);
  const auto written_at = core::SuspendAwareNow();
  table.insert(table.end(), {{"a", "2"}, {"b", "2"}, {"a", ""}});
  run_until_read(5);
  for (std::size_t number = 1; number < batches.size(); ++number) {
    EXPECT_FALSE(batches[number].whole);
    ASSERT_TRUE(batches[number].written_after);
    EXPECT_LE(*batches[number].written_after, written_at);
  }
  // Later rows were written after a read that found no more.
  loop.After(20, [&loop] { loop.Stop(); });
  loop.Run();
  table.push_back({"c", "1"});
  run_until_read(6);
  EXPECT_GT(batches.back().written_after, written_at);
}

INSTANTIATE_TEST_SUITE_P(Reads,
                         TableFollowerTest,
                         testing::Values(FollowCase{"all_at_once", 500},
                                         FollowCase{"one_by_one", 1}),
                         [](const auto& info) { return info.param.name; });

/// How a read on demand and the delayed one meet.
struct ReadNowCase {
  const char* name;
  /// Time until the delayed read is answered.
  core::Millis wait_ms;
  /// A row is written before the read on demand.
  bool has_change;
};

class ReadNowTest : public testing::TestWithParam<ReadNowCase> {};

// Guards against a process that takes its configuration for current although a
// newer version is stored, or applies one version twice, because two reads were
// in flight at once.
TEST_P(ReadNowTest, PassesEachRowOnOnceAndTellsWhatItHasSeen) {
  net::EventLoop loop;
  FakeStore store(loop);
  auto& table = store.tables[platform::Table::kConfiguration];
  table = {{"config", "1"}};
  std::vector<std::string> values;
  int reads = 0;
  std::unique_ptr<TableFollower> follower;
  follower = std::make_unique<TableFollower>(
      loop, store,
      FollowSettings{platform::Table::kConfiguration, GetParam().wait_ms, 0},
      [&](const RowBatch& batch) {
        for (const auto& row : batch.rows) {
          values.push_back(row.value);
        }
      },
      [&] { ++reads; });
  const auto run_for = [&](core::Millis span) {
    loop.After(span, [&loop] { loop.Stop(); });
    loop.Run();
  };
  EXPECT_EQ(follower->current_as_of(), 0);
  follower->ReadNow();
  run_for(30);
  ASSERT_EQ(values.size(), 1U);
  store.delay_reads = true;
  run_for(20);
  if (GetParam().has_change) {
    table.push_back({"config", "2"});
  }
  const auto asked_at = core::SuspendAwareNow();
  const auto reads_before = reads;
  follower->ReadNow();
  follower->ReadNow();
  run_for(30);
  EXPECT_GE(follower->current_as_of(), asked_at);
  EXPECT_GT(reads, reads_before);
  EXPECT_EQ(values.size(), GetParam().has_change ? 2U : 1U);
  run_for(2 * GetParam().wait_ms);
  EXPECT_GE(follower->current_as_of(), asked_at);
  EXPECT_EQ(values.size(), GetParam().has_change ? 2U : 1U);
  table.push_back({"config", "3"});
  run_for(2 * GetParam().wait_ms + 30);
  EXPECT_EQ(values.back(), "3");
  EXPECT_EQ(values.size(), GetParam().has_change ? 3U : 2U);
}

INSTANTIATE_TEST_SUITE_P(Reads,
                         ReadNowTest,
                         testing::Values(ReadNowCase{"no_change", 100, false},
                                         ReadNowCase{"change", 100, true}),
                         [](const auto& info) { return info.param.name; });

// Guards against workers that count as gone, as their listings stood behind a
// page of which no row could be read.
TEST(TableFollower, PassesNoPartOfATableOnAsTheWhole) {
  net::EventLoop loop;
  FakeStore store(loop);
  store.tables[platform::Table::kFleet] = {{"a", "1"}, {"b", "1"}};
  store.unreadable_pages = 2;
  std::vector<RowBatch> batches;
  const TableFollower follower(
      loop, store, {platform::Table::kFleet, 0, 2},
      [&](const RowBatch& batch) { batches.push_back(batch); });
  while (batches.empty()) {
    loop.After(5, [&loop] { loop.Stop(); });
    loop.Run();
  }
  EXPECT_TRUE(batches[0].whole);
  EXPECT_EQ(batches[0].rows.size(), 2U);
}

}  // namespace
}  // namespace kcm::entry
