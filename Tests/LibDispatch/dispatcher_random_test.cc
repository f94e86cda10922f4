#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kDayMs = 20000;
constexpr core::Millis kPatience = 120000;

/// Fifteen jobs under random loss, lateness, crashes, cuts and new holders.
/// The world checks at each start that no task runs twice, runs after its end
/// or runs out of order.
/// @return the promises that were broken.
auto PlayDay(std::uint32_t seed, bool verbose) -> std::vector<std::string> {
  std::mt19937 random(seed);
  const auto pick = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  DispatchWorld world(seed);
  world.verbose = verbose;
  world.AddWorkers(12, 4);
  world.faults.lost = pick(0, 2) * 0.1;
  world.faults.late = pick(0, 2) * 0.05;
  const std::vector<std::string> queues = {"urgent", "batch", "idle"};
  int jobs = 0;
  while (world.now < kDayMs) {
    if (jobs < 15) {
      auto step =
          DispatchWorld::Step(pick(1, 6), 1 << pick(0, 3), pick(200, 4000));
      step.gang = pick(0, 1) == 0;
      auto after = DispatchWorld::Step(pick(1, 3), 1, pick(200, 1000));
      after.after = {0};
      world.Submit(
          "job" + std::to_string(jobs++),
          queues[static_cast<std::size_t>(pick(0, 2))],
          pick(0, 1) == 0 ? std::vector{step} : std::vector{step, after});
    }
    const auto worker = "w" + std::to_string(pick(0, 11));
    switch (pick(0, 7)) {
      case 0:
        world.ReplaceHolder();
        break;
      case 1:
        world.cut.insert(worker);
        break;
      case 2:
        world.cut.clear();
        break;
      case 3:
        world.workers.at(worker).Crash(world.now);
        break;
      case 4:
        world.store_up = !world.store_up;
        break;
      case 5:
        world.Cancel("job" + std::to_string(pick(0, jobs)));
        break;
      default:
        break;
    }
    world.Run(pick(100, 1500));
  }
  world.cut.clear();
  world.store_up = true;
  world.faults = {};
  const auto all_ended = [&] {
    return std::all_of(world.submitted.begin(), world.submitted.end(),
                       [&](const auto& entry) {
                         const auto view = world.dispatcher().Find(entry.first);
                         return !view || IsEnded(view->phase);
                       });
  };
  if (!world.RunUntil(all_ended, kPatience)) {
    world.broken.emplace_back("a job never ended");
  }
  return world.broken;
}

RC_GTEST_PROP(DispatcherRandom, KeepsItsPromisesUnderFaults, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  RC_ASSERT(PlayDay(seed, false).empty());
}

/// Seeds that failed once.
class DispatcherSeeds : public testing::TestWithParam<std::uint32_t> {};

TEST_P(DispatcherSeeds, KeepThePromises) {
  EXPECT_EQ(PlayDay(GetParam(), std::getenv("KCM_VERBOSE") != nullptr),
            std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Found, DispatcherSeeds, testing::Range(0U, 300U));

}  // namespace
}  // namespace kcm::dispatch
