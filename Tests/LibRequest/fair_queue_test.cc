#include "LibRequest/fair_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace kcm::request {
namespace {

struct OrderCase {
  const char* name;
  QueueOrder order;
  std::vector<std::uint64_t> expected;
};

class FairQueueOrder : public testing::TestWithParam<OrderCase> {};

TEST_P(FairQueueOrder, AppliesWithinOneAccount) {
  FairQueue queue(GetParam().order);
  queue.Push({1, "council", 1, 300});
  queue.Push({2, "council", 1, 100});
  queue.Push({3, "council", 1, 200});
  std::vector<std::uint64_t> served;
  while (const auto next =
             queue.Pop([](const QueuedRequest&) { return true; })) {
    served.push_back(next->id);
  }
  EXPECT_EQ(served, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Orders,
    FairQueueOrder,
    testing::Values(
        OrderCase{"FirstIn", QueueOrder::kFirstIn, {1, 2, 3}},
        OrderCase{"Deadline", QueueOrder::kEarliestDeadline, {2, 3, 1}},
        OrderCase{"LastIn", QueueOrder::kLastIn, {3, 2, 1}}),
    [](const auto& info) { return info.param.name; });

TEST(FairQueue, ServesAccountsByWeight) {
  FairQueue queue(QueueOrder::kFirstIn);
  for (std::uint64_t i = 0; i < 80; ++i) {
    queue.Push({2 * i, "council", 3, 1000});
    queue.Push({2 * i + 1, "caravan", 1, 1000});
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 80; ++i) {
    ++served[queue.Pop([](const QueuedRequest&) { return true; })->account];
  }
  EXPECT_NEAR(served["council"], 60, 1);
  EXPECT_NEAR(served["caravan"], 20, 1);
}

TEST(FairQueue, IdleAccountAccumulatesNoCredit) {
  FairQueue queue(QueueOrder::kFirstIn);
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push({i, "council", 1, 1000});
  }
  for (int i = 0; i < 50; ++i) {
    (void)queue.Pop([](const QueuedRequest&) { return true; });
  }
  for (std::uint64_t i = 200; i < 210; ++i) {
    queue.Push({i, "caravan", 1, 1000});
  }
  int caravan = 0;
  for (int i = 0; i < 10; ++i) {
    caravan += queue.Pop([](const QueuedRequest&) { return true; })->account ==
                       "caravan"
                   ? 1
                   : 0;
  }
  EXPECT_NEAR(caravan, 5, 1);
}

TEST(FairQueue, RemovesRequestsThatMissTheirDeadline) {
  FairQueue queue(QueueOrder::kFirstIn);
  queue.Push({1, "council", 1, 100});
  queue.Push({2, "council", 1, 300});
  const auto expired = queue.RemoveExpired(200);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired.front().id, 1U);
  EXPECT_EQ(queue.size(), 1U);
}

}  // namespace
}  // namespace kcm::request
