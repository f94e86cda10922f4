// What the run times of a queue are taken for under uneven loads.

#include "LibSchedule/run_time_distribution.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>

namespace kcm::schedule {
namespace {

/// A queue's runs: their spread around the task's own size, how far the
/// declared time is off that size, and the share of runs that take seven times
/// as long.
struct Load {
  const char* name;
  double spread;
  double declared_off;
  double tail;
};

struct SampleRun {
  core::Millis declared = 0;
  core::Millis actual = 0;
};

class RunSource {
 public:
  explicit RunSource(Load load) : load_(load) {}

  auto Next() -> SampleRun {
    constexpr double kTailFactor = 7;
    const auto size = Uniform(2000, 10000);
    const auto declared =
        size * Uniform(1 - load_.declared_off, 1 + load_.declared_off);
    const auto factor = Uniform(0, 1) < load_.tail ? kTailFactor : 1;
    const auto actual =
        size * factor *
        std::exp(std::normal_distribution<double>(0, load_.spread)(random_));
    return {static_cast<core::Millis>(declared),
            static_cast<core::Millis>(actual)};
  }

 private:
  auto Uniform(double least, double most) -> double {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }

  Load load_;
  std::mt19937 random_{20261204};
};

class RunTimesUnderLoad : public testing::TestWithParam<Load> {
 protected:
  static constexpr int kLearn = 400;
  static constexpr int kRuns = 4000;

  auto Learn() -> void {
    for (int run = 0; run < kLearn; ++run) {
      Record(runs_.Next());
    }
  }
  auto Record(const SampleRun& run) -> void {
    distribution_.RecordRunTime("queue", run.declared, run.actual);
  }

  RunSource runs_{GetParam()};
  RunTimeDistribution distribution_;
};

// Guards against run times that are taken for too long or too short in the
// long run: the mean of the logarithms, with which the usual run was compared,
// follows the declared times that are far off and the tail.
TEST_P(RunTimesUnderLoad, HalfAreLongerThanTheMedianAndAQuarterThanTheUpper) {
  Learn();
  int above_median = 0;
  int above_upper = 0;
  for (int count = 0; count < kRuns; ++count) {
    const auto run = runs_.Next();
    above_median +=
        run.actual > distribution_.MedianMs("queue", run.declared) ? 1 : 0;
    above_upper +=
        run.actual > distribution_.UpperMs("queue", run.declared) ? 1 : 0;
    Record(run);
  }
  // Three standard errors of a share of 4000 runs are 0.024; the rest is for
  // interpolation in bins of 7.5%.
  constexpr double kTolerance = 0.04;
  EXPECT_NEAR(above_median / double{kRuns}, 0.5, kTolerance);
  EXPECT_NEAR(above_upper / double{kRuns}, 0.25, kTolerance);
}

// Guards against runs that are taken to end at once because they have outlived
// their estimate, although others that did so went on for long.
TEST_P(RunTimesUnderLoad,
       RunsThatOutlivedTheirEstimateEndAroundTheExpectedTime) {
  Learn();
  for (const auto outlived : {1.2, 3.0}) {
    int alive = 0;
    int ended_before = 0;
    for (int count = 0; count < kRuns; ++count) {
      const auto run = runs_.Next();
      const auto elapsed = static_cast<core::Millis>(
          outlived * static_cast<double>(run.declared));
      if (run.actual > elapsed) {
        ++alive;
        const auto expected =
            elapsed + distribution_.RemainingMs("queue", run.declared, elapsed);
        ended_before += run.actual <= expected ? 1 : 0;
      }
      Record(run);
    }
    // Few runs, for which a share is not told from another, say nothing.
    constexpr int kLeastAlive = 40;
    if (alive < kLeastAlive) {
      continue;
    }
    // Half of them, if enough were seen; with three in the memory of a hundred
    // the one pseudo-sample has a quarter of the weight.
    EXPECT_GE(ended_before, alive / 4) << outlived << " of " << alive;
    EXPECT_LE(ended_before, alive * 3 / 4) << outlived << " of " << alive;
  }
}

// Guards against work that counts for less than it takes: many runs of a queue
// with a tail take their arithmetic mean.
TEST_P(RunTimesUnderLoad, TheMeanPredictsTheSumOfManyRuns) {
  Learn();
  double expected = 0;
  double actual = 0;
  for (int count = 0; count < kRuns; ++count) {
    const auto run = runs_.Next();
    expected +=
        static_cast<double>(distribution_.MeanMs("queue", run.declared));
    actual += static_cast<double>(run.actual);
    Record(run);
  }
  // With declared times off by 90%, the ratio and the declared time depend on
  // each other, so that their product's mean differs: by a factor of
  // ln(19) / 1.8, which is 1.64.
  const auto most = GetParam().declared_off > 0.5 ? 1.8 : 1.1;
  EXPECT_GT(expected, actual * 0.9);
  EXPECT_LT(expected, actual * most);
}

// Guards against a slack that jumps with single runs: one run of seven times
// the usual length raised the mean that stood for the usual run by a fifth.
TEST_P(RunTimesUnderLoad, ASingleLongRunHardlyMovesTheMedian) {
  Learn();
  constexpr core::Millis kDeclared = 10000;
  const auto before = distribution_.MedianMs("queue", kDeclared);
  distribution_.RecordRunTime("queue", kDeclared, 7 * before);
  const auto after = distribution_.MedianMs("queue", kDeclared);
  // One of a hundred samples moves the median by at most half of a hundredth
  // of the samples, less than a bin.
  EXPECT_NEAR(static_cast<double>(after), static_cast<double>(before),
              0.075 * static_cast<double>(before));
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    RunTimesUnderLoad,
    testing::Values(Load{"Steady", 0.3, 0.2, 0},
                    Load{"HeavyTail", 0.4, 0.2, 0.03},
                    Load{"DeclaredOffBy90Percent", 0.5, 0.9, 0},
                    Load{"HeavyTailAndDeclaredOffBy90Percent", 0.5, 0.9, 0.03}),
    [](const auto& info) { return info.param.name; });

// Guards against decisions from a handful of runs after a takeover.
TEST(RunTimesOfAQueue, FewSamplesGiveTheMean) {
  RunSource runs({"", 0.5, 0.9, 0.03});
  RunTimeDistribution distribution;
  RunTimeEstimate estimate;
  constexpr core::Millis kDeclared = 5000;
  for (int count = 0; count < RunTimeDistribution::kLeastSamples; ++count) {
    const auto mean = estimate.ExpectedRunTime("queue", kDeclared);
    EXPECT_EQ(distribution.MedianMs("queue", kDeclared), mean);
    EXPECT_EQ(distribution.UpperMs("queue", kDeclared), mean);
    EXPECT_EQ(distribution.MeanMs("queue", kDeclared), mean);
    EXPECT_EQ(distribution.RemainingMs("queue", kDeclared, 2 * mean), 0);
    EXPECT_EQ(distribution.RemainingMs("queue", kDeclared, 0), mean);
    const auto run = runs.Next();
    distribution.RecordRunTime("queue", run.declared, run.actual);
    estimate.RecordRunTime("queue", run.declared, run.actual);
  }
  EXPECT_GT(
      distribution.RemainingMs("queue", kDeclared,
                               2 * distribution.MedianMs("queue", kDeclared)),
      0);
}

/// The run times of a queue after a change, in multiples of those before.
class QueueThatChanges : public testing::TestWithParam<double> {};

// Guards against estimates that stay with what a queue used to run.
TEST_P(QueueThatChanges, HasANewMedianWithinTheMemory) {
  RunSource runs({"", 0.2, 0, 0});
  RunTimeDistribution distribution;
  const auto record = [&](double count, double factor) {
    for (int number = 0; number < static_cast<int>(count); ++number) {
      const auto run = runs.Next();
      distribution.RecordRunTime(
          "queue", run.declared,
          static_cast<core::Millis>(static_cast<double>(run.actual) * factor));
    }
  };
  constexpr core::Millis kDeclared = 10000;
  const auto expected = kDeclared * GetParam();
  record(5 * RunTimeHistogram::kMemory, 1);
  // 0.37 of the weight is old then, which leaves the median 0.8 standard
  // deviations, 16%, from the new one.
  record(RunTimeHistogram::kMemory, GetParam());
  EXPECT_NEAR(static_cast<double>(distribution.MedianMs("queue", kDeclared)),
              expected, 0.25 * expected);
  // 0.02 of the weight is old.
  record(3 * RunTimeHistogram::kMemory, GetParam());
  EXPECT_NEAR(static_cast<double>(distribution.MedianMs("queue", kDeclared)),
              expected, 0.1 * expected);
}

INSTANTIATE_TEST_SUITE_P(Factors, QueueThatChanges, testing::Values(0.25, 4));

// Guards against a run beyond all others of its queue that is taken to end at
// once, or never.
TEST(RunTimesOfAQueue, ARunBeyondAllOthersGoesOnForAShareOfItsTime) {
  RunSource runs({"", 0.3, 0, 0});
  RunTimeDistribution distribution;
  for (int count = 0; count < 400; ++count) {
    const auto run = runs.Next();
    distribution.RecordRunTime("queue", run.declared, run.actual);
  }
  constexpr core::Millis kDeclared = 10000;
  for (const core::Millis elapsed : {50000, 100000, 800000, 2000000}) {
    const auto left = distribution.RemainingMs("queue", kDeclared, elapsed);
    EXPECT_GT(left, elapsed / 10) << elapsed;
    EXPECT_LT(left, elapsed / 2) << elapsed;
  }
}

// Guards against memory that grows with the number of queues or runs.
TEST(RunTimesOfAQueue, TakesBoundedMemory) {
  EXPECT_LE(sizeof(RunTimeHistogram), 520U);
  RunTimeDistribution distribution;
  const auto record = [&](const std::string& queue) {
    for (int count = 0; count < 40; ++count) {
      distribution.RecordRunTime(queue, 1000, 2000);
    }
  };
  for (std::size_t queue = 0; queue < RunTimeDistribution::kMaxQueues;
       ++queue) {
    record("queue" + std::to_string(queue));
  }
  record("one more");
  EXPECT_EQ(distribution.SummaryOf("queue0").samples, 40);
  EXPECT_EQ(distribution.SummaryOf("one more").samples, 0);
  EXPECT_EQ(distribution.MedianMs("one more", 1000), 2000);
}

}  // namespace
}  // namespace kcm::schedule
