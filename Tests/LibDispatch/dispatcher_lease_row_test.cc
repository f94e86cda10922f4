// Lease rows: bounds on the leases of lost workers that outlast the holder.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

constexpr auto kMaxUnconfirmedMs = DispatchSimulation::kMaxUnconfirmedMs;
constexpr double kSlowestClock = 0.98;
/// A call to a former incarnation of a worker may take effect this much later.
constexpr core::Millis kMaxCallDelayMs = 12000;
constexpr core::Millis kFaultyPhaseMs = 20000;
/// Time for the work of all jobs of a history, each task at most twice.
constexpr core::Millis kWorkMs = 20000;

/// @return the time from a claim until all leases of former holders have
///     expired, however slow the workers' clocks are.
auto LastLeaseSpan() -> core::Millis {
  const auto lease =
      static_cast<double>(DispatchSimulation::Settings().max_lease_ms);
  return kMaxUnconfirmedMs + static_cast<core::Millis>(lease * 1.03) + 500;
}

auto LeaseKey(const std::string& worker) -> std::string {
  return DeletedLeaseRow(worker).key;
}

class DispatcherLeaseRow : public testing::Test {
 protected:
  DispatcherLeaseRow() {
    simulation_.AddWorkers(1);
    simulation_.workers.at("w0").set_clock_rate(kSlowestClock);
    simulation_.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 20000)});
    simulation_.Run(3000);
    simulation_.AddWorkers(1);
    simulation_.Run(1000);
  }

  ~DispatcherLeaseRow() override {
    EXPECT_EQ(simulation_.invariants.violations, std::vector<std::string>{});
  }

  auto LoseWorker() -> void {
    simulation_.unlisted.insert("w0");
    simulation_.unreachable.insert("w0");
  }

  auto FindWorker() -> void {
    simulation_.unlisted.clear();
    simulation_.unreachable.clear();
  }

  DispatchSimulation simulation_;
};

// The worker is cut off but alive: its run goes on until its own lease ends,
// which a holder without the store may have renewed after the takeover.
TEST_F(DispatcherLeaseRow, KeepsATaskFromRunningBesideItsOldLease) {
  for (int takeover = 0; takeover < 3; ++takeover) {
    simulation_.ReplaceHolder(LastLeaseSpan(), kMaxUnconfirmedMs);
    simulation_.unreachable_for_newest = {"w0"};
    simulation_.unlisted = {"w0"};
    simulation_.Run(2000);
    EXPECT_TRUE(simulation_.stored_rows.contains(LeaseKey("w0")));
  }
  const auto runs_again = [&] {
    return !simulation_.workers.at("w1").runs().empty();
  };
  EXPECT_TRUE(simulation_.RunUntil(runs_again, LastLeaseSpan()));
}

// A bound that a takeover lost would make the successor wait for the longest
// lease again.
TEST_F(DispatcherLeaseRow, ABoundShrinksWhileHoldersChange) {
  LoseWorker();
  simulation_.Run(4000);
  auto last = LastLeaseSpan();
  while (simulation_.stored_rows.contains(LeaseKey("w0"))) {
    simulation_.ReplaceHolder(LastLeaseSpan());
    simulation_.Run(2000);
    const auto found = simulation_.stored_rows.find(LeaseKey("w0"));
    if (found != simulation_.stored_rows.end()) {
      core::Reason reason;
      const auto row = DecodeLeaseRow({found->first, found->second}, reason);
      ASSERT_TRUE(row);
      ASSERT_LE(row->remaining_ms, last - 1000);
      last = row->remaining_ms;
    }
  }
  EXPECT_EQ(simulation_.workers.at("w1").runs().size(), 1U);
}

// A worker that was cut off for seconds goes on with its runs; its leases are
// renewed only after the deletion of its row is stored.
TEST_F(DispatcherLeaseRow, AWorkerThatAnswersAgainKeepsItsRuns) {
  simulation_.unreachable.insert("w0");
  simulation_.Run(4000);
  ASSERT_TRUE(simulation_.stored_rows.contains(LeaseKey("w0")));
  simulation_.ReplaceHolder(LastLeaseSpan());
  FindWorker();
  simulation_.store_ms = 500;
  simulation_.Run(3000);
  EXPECT_FALSE(simulation_.stored_rows.contains(LeaseKey("w0")));
  EXPECT_TRUE(simulation_.RunUntil(
      [&] { return simulation_.PhaseOf("job") == JobPhase::kCompleted; },
      20000));
  EXPECT_EQ(simulation_.invariants.starts.begin()->second, 1);
}

// A worker that answers a new holder once still has the longer lease of a
// former one: its run must not count as gone when it is cut off right then.
TEST_F(DispatcherLeaseRow, AFirstAnswerDoesNotEndTheLeasesOfFormerHolders) {
  simulation_.unreachable.insert("w0");
  simulation_.Run(4000);
  ASSERT_TRUE(simulation_.stored_rows.contains(LeaseKey("w0")));
  simulation_.store_up = false;
  simulation_.unreachable.clear();
  simulation_.ReplaceHolder(LastLeaseSpan());
  const auto answered = [&] {
    const auto found = simulation_.dispatcher().sessions().find("w0");
    return found != simulation_.dispatcher().sessions().end() &&
           found->second.is_answering();
  };
  ASSERT_TRUE(simulation_.RunUntil(answered, 2000));
  LoseWorker();
  // The listing is read before a lease can be granted.
  simulation_.Run(500);
  simulation_.store_up = true;
  simulation_.Run(2 * LastLeaseSpan());
  EXPECT_EQ(simulation_.workers.at("w1").runs().size(), 1U);
}

// Rows of workers that are gone would pile up in the store.
TEST_F(DispatcherLeaseRow, IsDeletedWithTheLastRun) {
  LoseWorker();
  simulation_.Run(4000);
  ASSERT_TRUE(simulation_.stored_rows.contains(LeaseKey("w0")));
  simulation_.Run(LastLeaseSpan());
  EXPECT_FALSE(simulation_.stored_rows.contains(LeaseKey("w0")));
  EXPECT_FALSE(simulation_.dispatcher().sessions().contains("w0"));
}

/// The incarnation in a row whose bound is over; the tasks were placed on the
/// first incarnation of their worker, which has been reborn.
class DispatcherRebornLeaseRow : public DispatcherLeaseRow,
                                 public testing::WithParamInterface<int> {};

// A start that was sent to the former incarnation may reach the new one, which
// therefore has to confirm its stop before the task runs elsewhere.
TEST_P(DispatcherRebornLeaseRow, StopsARunThatMayReachTheNewIncarnation) {
  simulation_.workers.at("w0").Crash(simulation_.now);
  simulation_.stored_rows[LeaseKey("w0")] =
      EncodeLeaseRow({"w0", GetParam(), 0, 0}).value;
  bool is_stopped = false;
  simulation_.on_call = [&](const WorkerCall& call) {
    is_stopped = is_stopped || (call.incarnation == 2 &&
                                std::holds_alternative<StopCall>(call.command));
    EXPECT_TRUE(is_stopped || !std::holds_alternative<StartCall>(call.command));
  };
  simulation_.ReplaceHolder(LastLeaseSpan());
  simulation_.Run(1500);
  EXPECT_TRUE(is_stopped);
  EXPECT_EQ(simulation_.RunsOf("job"), 1);
}

INSTANTIATE_TEST_SUITE_P(Incarnations,
                         DispatcherRebornLeaseRow,
                         testing::Values(1, 2));

/// @return a row that would bound the leases of the first incarnation.
auto RowWithWitnesses(const core::Json& witnesses) -> std::string {
  const auto bytes =
      core::Json::to_msgpack(core::Json::array({1, 0, 0, witnesses}));
  return {bytes.begin(), bytes.end()};
}

/// A stored lease row that bounds nothing.
struct VoidRowCase {
  const char* name;
  std::string value;
};

class DispatcherVoidLeaseRow : public testing::TestWithParam<VoidRowCase> {};

// A holder that does not know lease rows may have granted leases since. The
// wait is then the longest lease of any former holder, as without a row.
TEST_P(DispatcherVoidLeaseRow, BoundsNothing) {
  DispatchSimulation simulation;
  simulation.AddWorkers(1);
  simulation.Submit("job", "batch", {DispatchSimulation::Step(1, 8, 60000)});
  simulation.Run(3000);
  simulation.AddWorkers(1);
  simulation.unlisted.insert("w0");
  simulation.unreachable.insert("w0");
  simulation.stored_rows[LeaseKey("w0")] = GetParam().value;
  simulation.stored_rows[LeaseKey("w7")] = GetParam().value;
  simulation.ReplaceHolder(LastLeaseSpan());
  simulation.Run(LastLeaseSpan() - 100);
  EXPECT_TRUE(simulation.workers.at("w1").runs().empty());
  EXPECT_FALSE(simulation.stored_rows.contains(LeaseKey("w7")));
  simulation.Run(2000);
  EXPECT_EQ(simulation.workers.at("w1").runs().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    DispatcherVoidLeaseRow,
    testing::Values(
        VoidRowCase{"OtherSeries", EncodeLeaseRow({"w0", 1, 0, 9}).value},
        VoidRowCase{"OlderIncarnation", EncodeLeaseRow({"w0", 0, 0, 0}).value},
        VoidRowCase{"NegativeSpan", EncodeLeaseRow({"w0", 1, -1, 0}).value},
        VoidRowCase{"Unreadable", "?"},
        VoidRowCase{"UnreadableWitnesses",
                    RowWithWitnesses(core::Json::array({"w0", 1, 2}))}),
    [](const auto& info) { return info.param.name; });

/// Plays takeovers in chains, cut-off holders and lost workers, some of which
/// stay lost while the holder goes on changing.
/// @return the violated invariants.
auto PlayTakeovers(std::uint32_t seed, bool verbose)
    -> std::vector<std::string> {
  std::mt19937 random(seed);
  const auto pick = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  DispatchSimulation simulation(seed);
  simulation.verbose = verbose;
  simulation.AddWorkers(8, 4);
  for (auto& [id, worker] : simulation.workers) {
    worker.set_clock_rate(pick(0, 1) == 0 ? kSlowestClock : 1);
  }
  simulation.faults.lost = pick(0, 2) * 0.1;
  simulation.faults.delayed = pick(0, 2) * 0.05;
  core::Millis next_takeover = pick(1000, 6000);
  core::Millis vacant_from = next_takeover;
  const auto take_over = [&] {
    simulation.is_vacant = simulation.now >= vacant_from;
    if (simulation.now >= next_takeover) {
      next_takeover = simulation.now + pick(700, 4000);
      // Half of the holders die some time before they are replaced.
      vacant_from =
          pick(0, 1) == 0 ? next_takeover : next_takeover - pick(100, 3000);
      simulation.ReplaceHolder(
          LastLeaseSpan(),
          pick(0, 1) == 0 ? 0 : pick(100, static_cast<int>(kMaxUnconfirmedMs)));
    }
  };
  int jobs = 0;
  while (simulation.now < kFaultyPhaseMs) {
    if (jobs < 10) {
      // A gang has to fit on the two workers that stay sound.
      const auto gang = pick(0, 2) == 0;
      auto step = DispatchSimulation::Step(
          pick(1, 4), 1 << pick(0, gang ? 2 : 3), pick(200, 5000));
      step.gang = gang;
      simulation.Submit("job" + std::to_string(jobs++), "batch", {step});
    }
    // The last two workers stay sound, so that all work can be done.
    const auto worker = "w" + std::to_string(pick(0, 5));
    switch (pick(0, 7)) {
      case 0:
        simulation.unreachable.insert(worker);
        break;
      case 1:
        simulation.unreachable_for_newest.insert(worker);
        break;
      case 2:
        simulation.unlisted.insert(worker);
        break;
      case 3:
        simulation.unreachable.erase(worker);
        simulation.unreachable_for_newest.erase(worker);
        simulation.unlisted.erase(worker);
        break;
      case 4:
        simulation.workers.at(worker).Crash(simulation.now);
        break;
      case 5:
        simulation.store_up = !simulation.store_up;
        break;
      default:
        break;
    }
    const auto until = simulation.now + pick(100, 1000);
    while (simulation.now < until) {
      take_over();
      simulation.Run(DispatchSimulation::kStepMs);
    }
  }
  simulation.store_up = true;
  simulation.faults = {};
  for (const auto& worker : simulation.unreachable_for_newest) {
    simulation.unreachable.insert(worker);
  }
  const auto all_ended = [&] {
    take_over();
    return std::all_of(
        simulation.invariants.submitted.begin(),
        simulation.invariants.submitted.end(), [&](const auto& entry) {
          const auto view = simulation.dispatcher().FindJob(entry.first);
          return !view || IsEnded(view->phase);
        });
  };
  if (!simulation.RunUntil(all_ended,
                           kMaxCallDelayMs + LastLeaseSpan() + kWorkMs)) {
    simulation.invariants.violations.emplace_back("a job did not end in time");
  }
  return simulation.invariants.violations;
}

RC_GTEST_PROP(DispatcherTakeoversRandom, EndAllJobsInTimeAndRunThemOnce, ()) {
  const auto violations =
      PlayTakeovers(*rc::gen::arbitrary<std::uint32_t>(), false);
  for (const auto& violation : violations) {
    RC_LOG() << violation << "\n";
  }
  RC_ASSERT(violations.empty());
}

class DispatcherTakeoverSeeds : public testing::TestWithParam<std::uint32_t> {};

// Guards against work that waits for ever or runs twice when takeovers, lost
// workers and cut-off holders coincide.
TEST_P(DispatcherTakeoverSeeds, EndAllJobsInTimeAndRunThemOnce) {
  EXPECT_EQ(PlayTakeovers(GetParam(), std::getenv("KCM_VERBOSE") != nullptr),
            std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         DispatcherTakeoverSeeds,
                         testing::Range(0U, 300U));

// Found by 1,500 random histories each.
INSTANTIATE_TEST_SUITE_P(
    FoundByRandomHistories,
    DispatcherTakeoverSeeds,
    testing::Values(5721U, 87208U, 145138721U, 1541727773U, 1727046099U));

}  // namespace
}  // namespace kcm::dispatch
