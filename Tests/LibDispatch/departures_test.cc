// Random departures of workers, and cuts of those that are about to leave.

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

/// More than the work needs, so that a task that is given up starts elsewhere
/// at once.
constexpr int kWorkers = 40;
constexpr int kJobs = 16;
constexpr core::Millis kDayMs = 30000;
/// Long enough for the leases of the last lost worker and all work after it.
constexpr core::Millis kFinishMs = 120000;

/// Lets workers of a simulation drain, cuts some of them off and takes them
/// away, and changes the holder, all by chance.
class Departures {
 public:
  explicit Departures(std::uint32_t seed) : simulation(seed), random_(seed) {
    simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
    simulation.AddWorkers(kWorkers);
  }

  auto Play() -> void {
    for (int number = 0; number < kJobs; ++number) {
      auto step = DispatchSimulation::Step(Span(1, 4), 4, Span(1000, 15000));
      step.gang = Chance(0.4);
      step.checkpoints = Chance(0.7);
      simulation.Submit("job" + std::to_string(number), "batch", {step});
    }
    auto next_departure = simulation.now;
    auto next_takeover = simulation.now + Span(6000, 20000);
    for (const auto end = simulation.now + kDayMs; simulation.now < end;) {
      if (simulation.now >= next_departure) {
        next_departure = simulation.now + Span(100, 1500);
        BeginDeparture();
      }
      if (simulation.now >= next_takeover) {
        next_takeover = simulation.now + Span(6000, 20000);
        simulation.ReplaceHolder();
      }
      for (auto& [id, departure] : departures_) {
        Continue(id, departure);
      }
      simulation.Run(kStepMs);
    }
  }

  auto AllJobsAreDone() -> bool {
    return simulation.RunUntil(
        [&] {
          for (int number = 0; number < kJobs; ++number) {
            if (simulation.PhaseOf("job" + std::to_string(number)) !=
                JobPhase::kCompleted) {
              return false;
            }
          }
          return true;
        },
        kFinishMs);
  }

  DispatchSimulation simulation;

 private:
  static constexpr core::Millis kStepMs = 50;

  struct Departure {
    core::Millis leaves_at = 0;
    /// A cut, if there is one, which resets connections or not.
    core::Millis cut_at = 0;
    core::Millis cut_until = 0;
    bool resets = false;
    bool has_left = false;
  };

  auto Span(core::Millis least, core::Millis most) -> core::Millis {
    return std::uniform_int_distribution<core::Millis>(least, most)(random_);
  }
  auto Chance(double share) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  auto BeginDeparture() -> void {
    // The last workers stay, so that all work can be done.
    const auto id = "w" + std::to_string(Span(0, kWorkers - 5));
    if (departures_.contains(id) || simulation.workers.at(id).runs().empty()) {
      return;
    }
    auto& departure = departures_[id];
    auto& info = simulation.workers.at(id).info();
    info.draining = true;
    info.leaves_in_ms = Span(300, 3500);
    // Workers stay longer than announced, at times for many seconds.
    departure.leaves_at = simulation.now + info.leaves_in_ms + Span(0, 9000);
    if (Chance(0.6)) {
      departure.cut_at = simulation.now + Span(0, 2500);
      departure.cut_until = departure.cut_at + Span(1000, 9000);
      departure.resets = Chance(0.6);
    }
  }

  auto Continue(const std::string& id, Departure& departure) -> void {
    const auto now = simulation.now;
    if (departure.has_left) {
      return;
    }
    const auto is_cut = now >= departure.cut_at && now < departure.cut_until;
    const auto is_expired = is_cut && now - departure.cut_at >=
                                          DispatchSimulation::kUnlistedAfterMs;
    SetMember(simulation.unreachable, id, is_cut);
    SetMember(simulation.reset, id, is_cut && departure.resets);
    SetMember(simulation.unlisted, id, is_expired);
    if (now >= departure.leaves_at) {
      departure.has_left = true;
      simulation.workers.at(id).Crash(now);
      // Its listing is deleted, unless it is cut off from the store.
      SetMember(simulation.departed, id, !is_cut);
      simulation.unlisted.insert(id);
      simulation.unreachable.insert(id);
      simulation.reset.insert(id);
    }
  }

  static auto SetMember(std::set<std::string>& members,
                        const std::string& id,
                        bool is_member) -> void {
    if (is_member) {
      members.insert(id);
    } else {
      members.erase(id);
    }
  }

  std::mt19937 random_;
  std::map<std::string, Departure> departures_;
};

class DepartureSeeds : public testing::TestWithParam<std::uint32_t> {};

// Guards against two runs of one task at once and against work that is never
// done: whether a worker has left or is only cut off was judged by signs that
// both show.
TEST_P(DepartureSeeds, KeepTheInvariants) {
  Departures departures(GetParam());
  departures.Play();
  EXPECT_TRUE(departures.AllJobsAreDone());
  EXPECT_EQ(departures.simulation.invariants.violations,
            std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         DepartureSeeds,
                         testing::Range<std::uint32_t>(1, 61));

}  // namespace
}  // namespace kcm::dispatch
