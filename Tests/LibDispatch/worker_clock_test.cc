#include "LibDispatch/worker_clock.h"

#include <gtest/gtest.h>

namespace kcm::dispatch {
namespace {

class WorkerClockRate : public testing::TestWithParam<double> {};

// Guards against a bound on a lease that ends before the lease does because the
// worker's clock is slow.
TEST_P(WorkerClockRate, PassesAReadingWithinTheLongestTime) {
  const auto reading_at = [](core::Millis now) {
    return 500 +
           static_cast<core::Millis>(static_cast<double>(now) * GetParam());
  };
  WorkerClock clock;
  clock.Observe(reading_at(1000), 1000);
  for (const core::Millis now : {1000, 2500, 9000}) {
    for (const core::Millis until : {0, 1500, 7000, 12000, 40000}) {
      const auto passed_at = now + clock.LongestUntil(until, now);
      EXPECT_GT(reading_at(passed_at), until) << now << " " << until;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Rates,
                         WorkerClockRate,
                         testing::Values(0.98, 0.99, 1.0));

}  // namespace
}  // namespace kcm::dispatch
