// What a follower tells of its table while a listing is incomplete.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "LibEntry/table_follower.h"
#include "manual_store.h"

namespace kcm::entry {
namespace {

class TableListingTest : public testing::Test {
 protected:
  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  /// Lets the follower read the table once, then lets its records expire while
  /// a read on demand is in flight, and answers the first of two pages.
  auto ReadFirstPageAgain() -> void {
    store_.pages.at(0).done(ManualStore::AnswerOf({{"a", "1"}}, 1));
    RunFor(5);
    follower_.ReadNow();
    ASSERT_EQ(store_.changes.size(), 2U);
    store_.changes[0].done(ManualStore::Expired());
    ASSERT_EQ(store_.pages.size(), 2U);
    store_.pages[1].done(ManualStore::AnswerOf({{"a", "2"}}, 4, true));
    ASSERT_EQ(store_.pages.size(), 3U);
  }

  net::EventLoop loop_;
  ManualStore store_;
  std::vector<RowBatch> batches_;
  TableFollower follower_{
      loop_, store_, FollowSettings{platform::Table::kConfiguration, 0, 0},
      [this](const RowBatch& batch) { batches_.push_back(batch); }};
};

// The answer to a read on demand arrived after the first page of a new listing.
// The follower then told that its rows were current, although a row of the
// second page was not known: a task could start in a data centre that had been
// evacuated for longer than allowed.
TEST_F(TableListingTest, IsNotCurrentBeforeItsSecondPageHasArrived) {
  ReadFirstPageAgain();
  const auto current_as_of = follower_.current_as_of();
  store_.changes[1].done(ManualStore::AnswerOf({}, 1));
  EXPECT_EQ(follower_.current_as_of(), current_as_of);
  follower_.ReadNow();
  RunFor(5);
  EXPECT_EQ(store_.changes.size(), 2U);
  EXPECT_EQ(follower_.current_as_of(), current_as_of);
  EXPECT_EQ(batches_.size(), 1U);
  store_.pages[2].done(ManualStore::AnswerOf({{"b", "1"}}, 4));
  EXPECT_GT(follower_.current_as_of(), current_as_of);
  EXPECT_EQ(batches_.size(), 2U);
}

// Rows of such an answer were passed on, and the older ones of the listing
// replaced them for good.
TEST_F(TableListingTest, KeepsRowsThatWereWrittenBetweenItsPages) {
  store_.pages.at(0).done(ManualStore::AnswerOf({{"a", "1"}}, 4));
  RunFor(5);
  follower_.ReadNow();
  ASSERT_EQ(store_.changes.size(), 2U);
  store_.changes[0].done(ManualStore::Expired());
  ASSERT_EQ(store_.pages.size(), 2U);
  store_.pages[1].done(ManualStore::AnswerOf({{"a", "1"}}, 4, true));
  store_.changes[1].done(ManualStore::AnswerOf({{"a", "2"}}, 5));
  ASSERT_EQ(store_.pages.size(), 3U);
  store_.pages[2].done(ManualStore::AnswerOf({{"b", "1"}}, 5));
  RunFor(5);
  ASSERT_EQ(store_.changes.size(), 3U);
  EXPECT_EQ(store_.changes[2].from, 4);
}

}  // namespace
}  // namespace kcm::entry
