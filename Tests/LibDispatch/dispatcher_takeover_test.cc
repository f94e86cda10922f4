// Recovery of lost work across changes of the term holder.

#include <gtest/gtest.h>

#include "dispatch_simulation.h"
#include "random_evacuations.h"

namespace kcm::dispatch {
namespace {

/// How long a holder without the store still renews leases.
constexpr core::Millis kMaxUnconfirmedMs = 4000;
/// A worker's clock may be this much slower than the holder's.
constexpr double kMaxClockDriftFactor = 1.03;
constexpr core::Millis kLeaseExpiryMarginMs = 500;
/// A new holder polls all workers within this time.
constexpr core::Millis kFirstPollsMs = 2000;
/// The lease may expire shortly before a takeover at which the next holder has
/// to poll first.
constexpr core::Millis kHolderLifetimeMs = 3000;

/// Time without a holder, and the lifetime of a holder that soon is lost too.
constexpr core::Millis kVacancyMs = 3000;
constexpr core::Millis kShortTermMs = 700;
/// A task whose former run is known to be gone starts within this time; callers
/// are promised three seconds.
constexpr core::Millis kTaskStartMs = 1000;

/// @return how long after the loss of a worker its last lease has expired,
///     whichever holder granted it.
auto LastLeaseSpan() -> core::Millis {
  const auto lease =
      static_cast<double>(DispatchSimulation::Settings().max_lease_ms);
  return kMaxUnconfirmedMs +
         static_cast<core::Millis>(lease * kMaxClockDriftFactor) +
         kLeaseExpiryMarginMs;
}

/// Workers on other racks stay sound, so that their clocks bear witness.
constexpr int kSoundWorkers = 3;

struct TakeoverCase {
  const char* name;
  /// Time from the loss of the worker to the first takeover.
  core::Millis first_takeover_ms;
  /// Time between the takeovers.
  core::Millis period_ms;
};

class DispatcherTakeover : public testing::TestWithParam<TakeoverCase> {};

// Guards against tasks that never run again: each new holder waited for the
// longest possible lease of a lost worker anew.
TEST_P(DispatcherTakeover, RunsTheTasksOfALostWorkerAfterItsLastLease) {
  DispatchSimulation simulation;
  simulation.AddWorkers(1);
  simulation.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 60000)});
  ASSERT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 1; }, 2000));
  simulation.AddWorkers(1);
  simulation.Run(2000);
  simulation.workers.at("w0").Crash(simulation.now);
  simulation.unlisted.insert("w0");
  simulation.unreachable.insert("w0");
  auto next_takeover = simulation.now + GetParam().first_takeover_ms;
  const auto runs_again = [&] {
    if (simulation.now >= next_takeover) {
      next_takeover += GetParam().period_ms;
      simulation.ReplaceHolder(LastLeaseSpan());
    }
    return simulation.RunsOf("job") == 1;
  };
  EXPECT_TRUE(simulation.RunUntil(
      runs_again, LastLeaseSpan() + kHolderLifetimeMs + kFirstPollsMs));
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

class DispatcherVacancy : public testing::TestWithParam<TakeoverCase> {};

// Guards against tasks that never run again: what had passed of a lost worker's
// leases was forgotten in each time without a holder, and by each holder that
// lived for less than a second.
TEST_P(DispatcherVacancy, CountsTheTimeWithoutAHolderOffTheLeases) {
  DispatchSimulation simulation;
  simulation.AddWorkers(1);
  simulation.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 60000)});
  ASSERT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 1; }, 2000));
  simulation.AddWorkers(kSoundWorkers, 1);
  for (auto& [id, worker] : simulation.workers) {
    worker.set_clock_rate(id == "w0" ? 1 : 0.98);
  }
  simulation.Run(2000);
  const auto lost_at = simulation.now;
  simulation.workers.at("w0").Crash(simulation.now);
  simulation.unlisted.insert("w0");
  simulation.unreachable.insert("w0");
  // The newest lease was granted about now, as a poll has a time-out of 800 ms.
  simulation.Run(GetParam().first_takeover_ms);
  const auto lasting_holder_at =
      lost_at + LastLeaseSpan() - kVacancyMs - kShortTermMs;
  while (simulation.now < lasting_holder_at) {
    simulation.is_vacant = true;
    simulation.Run(kVacancyMs);
    simulation.ReplaceHolder(LastLeaseSpan());
    simulation.Run(kShortTermMs);
  }
  const auto most = std::max(lost_at + LastLeaseSpan(), simulation.now) +
                    kTaskStartMs - simulation.now;
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.RunsOf("job") == 1; }, most));
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DispatcherVacancy,
    testing::Values(TakeoverCase{"BeforeTheWorkerIsFoundLost", 100, 0},
                    TakeoverCase{"AfterItsLeaseRowIsStored", 2500, 0}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DispatcherTakeover,
    testing::Values(TakeoverCase{"EveryThreeSeconds", 3000, 3000},
                    TakeoverCase{"ShortlyBeforeTheEndOfTheLease", 6000, 60000}),
    [](const auto& info) { return info.param.name; });

class EvacuationTakeovers : public testing::TestWithParam<std::uint32_t> {};

// Guards against starts in evacuated data centres by a new holder, and against
// tasks that no holder starts any more. Former holders that are cut off go on
// for a while, also from a state that does not show the evacuation.
TEST_P(EvacuationTakeovers, StartNothingInEvacuatedDataCentres) {
  DispatchSimulation simulation(GetParam());
  simulation.AddWorkers(9, 3);
  RandomEvacuations evacuations(simulation, GetParam());
  simulation.faults.lost = evacuations.Pick(0, 2) * 0.1;
  simulation.Run(1000);
  constexpr int kTakeovers = 8;
  for (int number = 0; number < kTakeovers; ++number) {
    auto step = DispatchSimulation::Step(evacuations.Pick(1, 6), 8,
                                         evacuations.Pick(200, 3000));
    step.gang = evacuations.Pick(0, 1) == 0;
    simulation.Submit("job" + std::to_string(number), "batch", {step});
    evacuations.Step();
    simulation.Run(evacuations.Pick(0, 1500));
    simulation.ReplaceHolder(
        LastLeaseSpan(),
        evacuations.Pick(0, 1) == 0 ? 0 : evacuations.Pick(500, 4000));
    evacuations.Step();
    simulation.Run(evacuations.Pick(0, 1500));
  }
  evacuations.End();
  simulation.faults = {};
  for (int number = 0; number < kTakeovers; ++number) {
    const auto job = "job" + std::to_string(number);
    // A job that was not stored before a takeover was not accepted.
    const auto has_ended = [&] {
      const auto view = simulation.dispatcher().FindJob(job);
      return !view || IsEnded(view->phase);
    };
    EXPECT_TRUE(simulation.RunUntil(has_ended, 60000)) << job;
  }
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, EvacuationTakeovers, testing::Range(0U, 100U));

}  // namespace
}  // namespace kcm::dispatch
