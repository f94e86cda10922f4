// Usage and max-min shares of accounts, without a dispatcher.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "LibDispatch/account_shares.h"
#include "LibDispatch/max_min_levels.h"

namespace kcm::dispatch {
namespace {

constexpr Resources kPool = {100000, 100000, 100};
constexpr OrderGroup kGroup = {1, 1};
const PoolAccount kCouncil = {"pool", "council"};
const PoolAccount kParks = {"pool", "parks"};

auto Accelerators(std::int64_t count) -> Resources {
  return {0, 0, count};
}

struct LevelCase {
  const char* name = "";
  std::vector<ShareDemand> demands;
  ResourceShares available{};
  std::vector<double> levels;
};

class MaxMinLevelsTest : public testing::TestWithParam<LevelCase> {};

// Guards against shares by equal parts, which leave what a small account does
// not ask for to nobody, and against sums of different resources.
TEST_P(MaxMinLevelsTest, FillsInProportionToTheWeights) {
  const auto levels = MaxMinLevels(GetParam().demands, GetParam().available);
  ASSERT_EQ(levels.size(), GetParam().levels.size());
  for (std::size_t index = 0; index < levels.size(); ++index) {
    EXPECT_NEAR(levels[index], GetParam().levels[index], 1e-9) << index;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Demands,
    MaxMinLevelsTest,
    testing::Values(LevelCase{"RoomForAll",
                              {{1, {0, 0, 0.4}}, {1, {0, 0, 0.5}}},
                              {1, 1, 1},
                              {1, 1}},
                    LevelCase{"EqualBursts",
                              {{1, {0, 0, 3}}, {1, {0, 0, 9}}},
                              {1, 1, 1},
                              {0.5, 0.5}},
                    LevelCase{
                        "BurstAgainstSmallOnes",
                        {{1, {0, 0, 0.1}}, {1, {0, 0, 0.2}}, {1, {0, 0, 9}}},
                        {1, 1, 1},
                        {0.7, 0.7, 0.7}},
                    LevelCase{"Weights",
                              {{3, {0, 0, 9}}, {1, {0, 0, 9}}},
                              {1, 1, 1},
                              {0.75, 0.25}},
                    LevelCase{"WithoutGuaranteedCapacity",
                              {{1, {0, 0, 9}}, {1, {0, 0, 9}}},
                              {1, 1, 0.5},
                              {0.25, 0.25}},
                    // The example of the article on dominant resource fairness.
                    LevelCase{"CoresAgainstMemory",
                              {{1, {10.0 / 9, 40.0 / 18, 0}},
                               {1, {30.0 / 9, 10.0 / 18, 0}}},
                              {1, 1, 1},
                              {2.0 / 3, 2.0 / 3}},
                    // Only one of them uses what is exhausted.
                    LevelCase{"AnotherResourceIsLeft",
                              {{1, {0, 0, 9}}, {1, {0.9, 0, 0}}},
                              {1, 1, 1},
                              {1, 1}},
                    LevelCase{"NoDemand",
                              {{1, {0, 0, 0}}, {1, {0, 0, 9}}},
                              {1, 1, 1},
                              {1, 1}},
                    LevelCase{"NothingAvailable",
                              {{1, {0, 0, 1}}, {1, {0, 0, 9}}},
                              {0, 0, 0},
                              {0, 0}}),
    [](const auto& test) { return test.param.name; });

/// Shares of one pool that has had data for long.
class AccountSharesTest : public testing::Test {
 protected:
  auto ShareOf(const PoolAccount& owner, double max_min, core::Millis now)
      -> AccountShare {
    return shares_.Compare(owner, kGroup, kPool, max_min, now);
  }

  AccountShares shares_;
};

// Guards against a burst that is forgotten as soon as its runs end.
TEST_F(AccountSharesTest, UsageIsForgottenOverSomeSeconds) {
  shares_.AddRun(kCouncil, "job", Accelerators(80), false, 2000);
  shares_.RemoveRun("job", Accelerators(80), 60000);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 60000).present, 0);
  EXPECT_NEAR(ShareOf(kCouncil, 0.5, 60000).average, 0.8, 0.01);
  EXPECT_NEAR(ShareOf(kCouncil, 0.5, 63500).average, 0.4, 0.01);
  EXPECT_LT(ShareOf(kCouncil, 0.5, 80000).average, 0.02);
}

// Guards against a burst that is charged only seconds after it took capacity.
TEST_F(AccountSharesTest, ANewRunCountsAtOnce) {
  shares_.AddRun(kCouncil, "job", Accelerators(80), false, 60000);
  EXPECT_NEAR(ShareOf(kCouncil, 0.5, 60000).present, 0.8, 1e-9);
}

// Guards against an order that changes with each job that arrives or ends.
TEST_F(AccountSharesTest, AnAccountReturnsWellBelowItsShareOnly) {
  shares_.AddRun(kCouncil, "job", Accelerators(50), false, 2000);
  EXPECT_FALSE(ShareOf(kCouncil, 0.51, 60000).is_average_beyond);
  EXPECT_TRUE(ShareOf(kCouncil, 0.49, 60000).is_average_beyond);
  EXPECT_TRUE(ShareOf(kCouncil, 0.51, 60000).is_average_beyond);
  EXPECT_FALSE(ShareOf(kCouncil, 0.57, 60000).is_average_beyond);
  EXPECT_FALSE(ShareOf(kCouncil, 0.51, 60000).is_average_beyond);
}

// Guards against the averages of a new holder that start from zero, so that
// the account that has just taken the fleet is put first.
TEST_F(AccountSharesTest, AveragesStartFromWhatRunsAfterATakeover) {
  shares_.set_started_at(5000);
  shares_.AddRun(kCouncil, "adopted", Accelerators(80), false, 5000);
  EXPECT_FALSE(shares_.HasEnoughData(5999));
  EXPECT_TRUE(shares_.HasEnoughData(6000));
  shares_.RemoveRun("adopted", Accelerators(80), 6100);
  EXPECT_NEAR(ShareOf(kCouncil, 0.5, 6100).average, 0.8, 0.02);
}

// Guards against guaranteed work that is charged to its account.
TEST_F(AccountSharesTest, GuaranteedRunsAreNotChargedAndNotShared) {
  shares_.AddRun(kCouncil, "owed", Accelerators(40), true, 2000);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 2000).present, 0);
  const auto max_min = shares_.MaxMinShares(
      "pool", kPool,
      {{"council", Accelerators(100)}, {"parks", Accelerators(100)}});
  EXPECT_NEAR(max_min.at("council"), 0.3, 1e-9);
  EXPECT_NEAR(max_min.at("parks"), 0.3, 1e-9);
}

// Guards against runs that stay charged, or are uncharged twice, when the
// guarantee is taken by an older job or their job ends.
TEST_F(AccountSharesTest, RunsAreChargedAnewWhenTheGuaranteeCoversOtherJobs) {
  shares_.AddRun(kCouncil, "job", Accelerators(40), true, 2000);
  shares_.SetGuaranteedJobs({}, 3000);
  EXPECT_NEAR(ShareOf(kCouncil, 0.5, 3000).present, 0.4, 1e-9);
  shares_.SetGuaranteedJobs({{"job", true}}, 4000);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 90000).present, 0);
  shares_.OnJobEnded("job");
  shares_.SetGuaranteedJobs({}, 90000);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 90000).present, 0);
  shares_.RemoveRun("job", Accelerators(40), 90500);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 90500).present, 0);
  EXPECT_EQ(shares_.InUse(), Resources{});
}

// Guards against the end of a run that the holder has no record of, which has
// no demand, ending the charge of another run of the job.
TEST_F(AccountSharesTest, EndsOfUnknownRunsChangeNothing) {
  shares_.AddRun(kCouncil, "job", Accelerators(40), false, 2000);
  shares_.RemoveRun("job", {}, 3000);
  shares_.RemoveRun("unknown", Accelerators(40), 3000);
  EXPECT_EQ(shares_.InUse(), Accelerators(40));
}

// Guards against a pool whose load counts against an account in another one.
TEST_F(AccountSharesTest, PoolsAreSharedApart) {
  shares_.AddRun({"other", "council"}, "job", Accelerators(90), false, 2000);
  EXPECT_EQ(ShareOf(kCouncil, 0.5, 2000).present, 0);
  const auto max_min =
      shares_.MaxMinShares("pool", kPool, {{"parks", Accelerators(100)}});
  EXPECT_FALSE(max_min.contains("council"));
}

TEST_F(AccountSharesTest, WeightsAreInProportionToTheGuarantees) {
  shares_.SetGuarantees({{"council", 64}, {"parks", 16}, {"guest", 0}});
  EXPECT_EQ(shares_.WeightOf("council"), 4);
  EXPECT_EQ(shares_.WeightOf("parks"), 1);
  EXPECT_EQ(shares_.WeightOf("guest"), 1);
  EXPECT_EQ(shares_.WeightOf("unknown"), 1);
}

// Guards against state that grows with all accounts ever seen.
TEST_F(AccountSharesTest, ForgetsAccountsWithoutRuns) {
  shares_.AddRun(kCouncil, "a", Accelerators(1), false, 2000);
  shares_.AddRun(kParks, "b", Accelerators(1), false, 2000);
  shares_.RemoveRun("a", Accelerators(1), 3000);
  shares_.Prune(3000);
  EXPECT_EQ(shares_.size(), 2U);
  shares_.Prune(60000);
  EXPECT_EQ(shares_.size(), 1U);
}

}  // namespace
}  // namespace kcm::dispatch
