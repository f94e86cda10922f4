#include "LibEntry/state_reader.h"

#include <gtest/gtest.h>

#include "fake_store.h"

namespace kcm::entry {
namespace {

class StateReaderTest : public testing::Test {
 protected:
  StateReaderTest() {
    for (int index = 0; index < 1200; ++index) {
      store_.state["t/" + std::to_string(index)] = "row";
    }
    store_.end_offset = 1200;
  }

  net::EventLoop loop_;
  FakeStore store_{loop_};
  std::optional<std::vector<dispatch::StateRow>> rows_;
  StateReader reader_{
      loop_, store_,
      [this](std::optional<std::vector<dispatch::StateRow>> rows) {
        rows_ = std::move(rows);
        loop_.Stop();
      }};
};

TEST_F(StateReaderTest, ReadsAllPages) {
  reader_.Start();
  loop_.Run();
  ASSERT_TRUE(rows_);
  EXPECT_EQ(rows_->size(), 1200U);
}

// A process that cannot read the state at first keeps the term that it won.
TEST_F(StateReaderTest, RepeatsFailedReads) {
  store_.refuse_state_reads = true;
  loop_.After(200, [this] {
    EXPECT_GT(reader_.StoreOutageMs(), 0);
    store_.refuse_state_reads = false;
  });
  reader_.Start();
  loop_.Run();
  ASSERT_TRUE(rows_);
  EXPECT_EQ(rows_->size(), 1200U);
  EXPECT_EQ(reader_.StoreOutageMs(), 0);
}

// Guards against jobs that are lost: a page of which no row could be read ended
// the list, though more were to follow, and the rest was taken for all there
// is.
TEST_F(StateReaderTest, RepeatsAPageThatIsNeitherReadableNorTheLast) {
  store_.unreadable_pages = 3;
  reader_.Start();
  loop_.Run();
  ASSERT_TRUE(rows_);
  EXPECT_EQ(rows_->size(), 1200U);
}

// If it stays so, another process may read the state.
TEST_F(StateReaderTest, EndsWithoutRowsIfAPageStaysUnreadable) {
  store_.unreadable_pages = 1000000;
  reader_.Start();
  loop_.Run();
  EXPECT_FALSE(rows_);
}

// Pages of two terms would be mixed.
TEST_F(StateReaderTest, EndsWithoutRowsIfALaterTermBegins) {
  loop_.After(1, [this] { ++store_.end_offset; });
  reader_.Start();
  loop_.Run();
  EXPECT_FALSE(rows_);
}

}  // namespace
}  // namespace kcm::entry
