#include "LibEntry/table_follower.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace kcm::entry
