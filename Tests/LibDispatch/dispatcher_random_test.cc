#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "dispatch_world.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kDayMs = 20000;
constexpr core::Millis kHistoryPatience = 120000;

/// What a random day has besides lost and late answers, crashes, cuts, new
/// holders and cancelled jobs.
struct DayKind {
  const char* name;
  /// Workers whose runs fail and take time to stop, steps that save their
  /// progress, and jobs that are refused while the store is away.
  bool failures;
};

/// Fifteen jobs under random faults. The world checks at each order and each
/// start what must hold for it.
/// @return the promises that were broken.
auto PlayDay(std::uint32_t seed, const DayKind& kind, bool verbose)
    -> std::vector<std::string> {
  std::mt19937 random(seed);
  // Draws of its own keep the days of the seeds that failed once as they were.
  std::mt19937 failure_random(~seed);
  const auto one_in = [&](int count) {
    return kind.failures &&
           std::uniform_int_distribution<int>(1, count)(failure_random) == 1;
  };
  const auto pick = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  DispatchWorld world(seed);
  world.verbose = verbose;
  world.AddWorkers(12, 4);
  for (auto& [id, worker] : world.workers) {
    worker.set_stop_grace(kind.failures ? 150 : 0);
  }
  world.faults.lost = pick(0, 2) * 0.1;
  world.faults.late = pick(0, 2) * 0.05;
  const std::vector<std::string> queues = {"urgent", "batch", "idle"};
  int jobs = 0;
  while (world.now < kDayMs) {
    if (jobs < 15) {
      auto step =
          DispatchWorld::Step(pick(1, 6), 1 << pick(0, 3), pick(200, 4000));
      step.gang = pick(0, 1) == 0;
      step.checkpoints = one_in(2);
      auto after = DispatchWorld::Step(pick(1, 3), 1, pick(200, 1000));
      after.after = {0};
      const auto id = "job" + std::to_string(jobs++);
      world.Submit(
          id, queues[static_cast<std::size_t>(pick(0, 2))],
          pick(0, 1) == 0 ? std::vector{step} : std::vector{step, after});
      if (!world.store_up && one_in(2)) {
        world.Withdraw(id);
      }
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
    world.workers.at(worker).set_fails(one_in(3));
    world.Run(pick(100, 1500));
  }
  for (auto& [id, each] : world.workers) {
    each.set_fails(false);
  }
  world.cut.clear();
  world.store_up = true;
  world.faults = {};
  const auto all_ended = [&] {
    return std::all_of(world.promises.submitted.begin(),
                       world.promises.submitted.end(), [&](const auto& entry) {
                         const auto view = world.dispatcher().Find(entry.first);
                         return !view || IsEnded(view->phase);
                       });
  };
  if (!world.RunUntil(all_ended, kHistoryPatience)) {
    world.promises.broken.emplace_back("a job never ended");
  }
  return world.promises.broken;
}

constexpr DayKind kPlain = {"Plain", false};
constexpr DayKind kFailures = {"Failures", true};

RC_GTEST_PROP(DispatcherRandom, KeepsItsPromisesUnderFaults, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  const auto kind = *rc::gen::element(kPlain, kFailures);
  const auto broken = PlayDay(seed, kind, false);
  for (const auto& promise : broken) {
    RC_LOG() << kind.name << " " << promise << "\n";
  }
  RC_ASSERT(broken.empty());
}

class DispatcherSeeds
    : public testing::TestWithParam<std::tuple<DayKind, std::uint32_t>> {};

TEST_P(DispatcherSeeds, KeepThePromises) {
  const auto& [kind, seed] = GetParam();
  EXPECT_EQ(PlayDay(seed, kind, std::getenv("KCM_VERBOSE") != nullptr),
            std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Found,
                         DispatcherSeeds,
                         testing::Combine(testing::Values(kPlain, kFailures),
                                          testing::Range(0U, 600U)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) +
                                  std::to_string(std::get<1>(info.param));
                         });

}  // namespace
}  // namespace kcm::dispatch
