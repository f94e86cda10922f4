// What events and planning cost on a large fleet, counted by DispatchLoad.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {
namespace {

constexpr core::Millis kRunMs = 60000;
constexpr core::Millis kRoundTripMs = 2;
constexpr core::Millis kStoreMs = 5;
constexpr core::Millis kTickMs = 50;
constexpr core::Millis kFleetReadMs = 400;
constexpr core::Millis kSettleMs = 3000;

/// A term holder that handles each answer when it arrives, its store and the
/// workers that answer it, on simulated time in steps of a millisecond.
class AnsweringFleet {
 public:
  explicit AnsweringFleet(int workers) {
    dispatcher.Recover({}, {});
    dispatcher.SetQueues({{"urgent", {"pool", 0, 2, 1.5, 500}},
                          {"batch", {"pool", 1, 4, 3, 1200}}});
    for (int number = 0; number < workers; ++number) {
      WorkerInfo info;
      info.id = "w" + std::to_string(number);
      info.incarnation = 1;
      info.service = "pool";
      info.address = {"10.0.0.1", 1};
      info.rack = "r" + std::to_string(number / 8);
      info.capacity = {32000, 131072, 8};
      infos_.push_back(info);
      // Workers answer at different times within a poll's wait.
      phases_[info.id] = number * 1000 / workers;
    }
  }

  /// Submits jobs of one step with tasks of this many accelerators.
  auto Submit(const std::string& prefix,
              const std::string& queue,
              int jobs,
              const StepSpec& step,
              const std::string& account = "council") -> void {
    for (int number = 0; number < jobs; ++number) {
      JobSpec spec;
      spec.id = prefix + std::to_string(number);
      spec.queue = queue;
      spec.account = account;
      spec.policy.service = "pool";
      spec.steps = {step};
      std::ignore = dispatcher.Submit(spec, Now());
    }
    RunDueWork();
  }

  static auto Tasks(std::int64_t tasks, std::int64_t accelerators) -> StepSpec {
    StepSpec step;
    step.tasks = tasks;
    step.demand = {1000, 1000, accelerators};
    step.estimate_ms = kRunMs;
    return step;
  }

  auto Run(core::Millis span) -> void {
    for (const auto end = now + span; now < end;) {
      ++now;
      while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
        const auto action = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        action();
      }
      if (now % kFleetReadMs == 1) {
        dispatcher.SetFleet(infos_, Now());
        RunDueWork();
      }
      if (now % kTickMs == 0) {
        RunDueWork();
      }
    }
  }

  Dispatcher dispatcher{DispatchSettings{}};
  core::Millis now = 0;
  /// The work of handling each answered poll.
  std::vector<std::int64_t> poll_work;
  /// When the first start of each job was sent.
  std::map<std::string, core::Millis> started;

 private:
  [[nodiscard]] auto Now() const -> ClockReading {
    return {now, now + 1000000};
  }

  auto RunDueWork() -> void {
    for (const auto& call : dispatcher.TakeCalls(Now(), {true, now})) {
      Deliver(call);
    }
    std::ignore = dispatcher.TakeDecisions();
    if (storing_) {
      return;
    }
    if (const auto batch = dispatcher.TakeBatch(false)) {
      storing_ = true;
      scheduled_.emplace(now + kStoreMs, [this, number = batch->number] {
        storing_ = false;
        dispatcher.MarkStored(number);
        RunDueWork();
      });
    }
  }

  auto Deliver(const WorkerCall& call) -> void {
    auto delay = kRoundTripMs;
    if (const auto* start = std::get_if<StartCall>(&call.command)) {
      started.try_emplace(start->task.job, now);
      runs_[call.worker][start->task] = start->attempt;
    } else if (const auto* stop = std::get_if<StopCall>(&call.command)) {
      runs_[call.worker].erase(stop->task);
    } else if (const auto& poll = std::get<PollCall>(call.command);
               poll.wait_ms > 0) {
      delay += poll.wait_ms;
    } else {
      delay += std::exchange(phases_[call.worker], 0);
    }
    scheduled_.emplace(now + delay, [this, call] { Answer(call); });
  }

  auto Answer(const WorkerCall& call) -> void {
    CallResult result;
    result.end = CallEnd::kDone;
    result.clock_ms = now;
    const auto is_poll = std::holds_alternative<PollCall>(call.command);
    if (is_poll) {
      result.report = PollReport{};
      result.report->incarnation = call.incarnation;
      result.report->clock_ms = now;
      for (const auto& [task, attempt] : runs_[call.worker]) {
        const auto percent =
            100.0 * static_cast<double>(now) / static_cast<double>(kRunMs);
        result.report->running.push_back({task, attempt, "", percent});
      }
    }
    const auto before = dispatcher.load().work();
    dispatcher.OnResult(call, result, Now());
    RunDueWork();
    if (is_poll) {
      poll_work.push_back(dispatcher.load().work() - before);
    }
  }

  std::vector<WorkerInfo> infos_;
  std::map<std::string, core::Millis> phases_;
  std::map<std::string, std::map<TaskId, std::int64_t>> runs_;
  std::multimap<core::Millis, std::function<void()>> scheduled_;
  bool storing_ = false;
};

/// A fleet that is full, and how many tasks wait.
struct FleetCase {
  int workers = 0;
  int waiting = 0;
};

constexpr FleetCase kSmall = {35, 0};
constexpr FleetCase kLarge = {350, 500};

/// Fills the workers with runs and adds the waiting tasks: half of them gangs
/// of the urgent queue, which search for runs to await and to evict.
auto Fill(AnsweringFleet& fleet, const FleetCase& fleet_case) -> void {
  fleet.Run(kSettleMs);
  fleet.Submit("full", "urgent", fleet_case.workers,
               AnsweringFleet::Tasks(4, 2));
  fleet.Run(kSettleMs);
  auto gang = AnsweringFleet::Tasks(5, 2);
  gang.gang = true;
  fleet.Submit("gang", "urgent", fleet_case.waiting / 10, gang);
  fleet.Submit("tasks", "batch", fleet_case.waiting / 10,
               AnsweringFleet::Tasks(5, 1));
  fleet.Run(kSettleMs);
}

auto MedianPollWork(const FleetCase& fleet_case) -> std::int64_t {
  AnsweringFleet fleet(fleet_case.workers);
  Fill(fleet, fleet_case);
  fleet.poll_work.clear();
  fleet.Run(kSettleMs);
  auto& work = fleet.poll_work;
  EXPECT_GE(work.size(), static_cast<std::size_t>(fleet_case.workers));
  const auto middle =
      work.begin() + static_cast<std::ptrdiff_t>(work.size() / 2);
  std::nth_element(work.begin(), middle, work.end());
  return *middle;
}

// Guards against each answer of a worker costing a pass over all sessions, jobs
// and runs: behind a burst the cost of an event grew with the backlog, so that
// the holder fell further behind and lost its term.
TEST(DispatcherCost, AnAnsweredPollCostsTheSameOnALargeFleetWithABacklog) {
  constexpr std::int64_t kMaxRatio = 3;
  EXPECT_LE(MedianPollWork(kLarge), kMaxRatio * MedianPollWork(kSmall));
}

// Guards against a plan for each event: the more answers arrived, the more of
// the holder's time went into planning, before heartbeats and leases.
TEST(DispatcherCost, TheNumberOfPlansDoesNotGrowWithTheEvents) {
  constexpr core::Millis kSpanMs = 2000;
  // Urgent work has an objective of 500 ms, of which planning may take a small
  // part.
  constexpr core::Millis kMinPlanIntervalMs = 20;
  AnsweringFleet fleet(kLarge.workers);
  Fill(fleet, kLarge);
  const auto before = fleet.dispatcher.load().plans;
  fleet.Run(kSpanMs);
  EXPECT_GT(fleet.dispatcher.load().plans, before);
  EXPECT_LE(fleet.dispatcher.load().plans - before,
            kSpanMs / kMinPlanIntervalMs);
}

// Guards against urgent work waiting for the planning of a backlog.
TEST(DispatcherCost, AnUrgentJobThatFitsStartsSoonBehindABacklog) {
  constexpr core::Millis kMaxDelayMs = 50;
  AnsweringFleet fleet(kLarge.workers);
  fleet.Run(kSettleMs);
  // Leaves an accelerator of each worker free, which no waiting task can use.
  fleet.Submit("full", "urgent", kLarge.workers, AnsweringFleet::Tasks(1, 7));
  fleet.Run(kSettleMs);
  fleet.Submit("tasks", "batch", kLarge.waiting / 5,
               AnsweringFleet::Tasks(5, 2));
  fleet.Run(kSettleMs);
  for (int number = 0; number < 20; ++number) {
    const auto prefix = "urgent" + std::to_string(number) + ".";
    const auto asked_at = fleet.now;
    fleet.Submit(prefix, "urgent", 1, AnsweringFleet::Tasks(1, 1));
    // Arrives at varying times within the pause between plans.
    fleet.Run(103 + number);
    ASSERT_TRUE(fleet.started.contains(prefix + "0"));
    EXPECT_LE(fleet.started.at(prefix + "0") - asked_at,
              kMaxDelayMs + 2 * kStoreMs);
  }
}

/// @return the accounts looked at by each planning pass, while three accounts
///     wait for a full fleet.
auto AccountsPerPlan(int workers) -> double {
  constexpr int kAccounts = 3;
  constexpr int kWaitingJobs = 40;
  AnsweringFleet fleet(workers);
  fleet.Run(kSettleMs);
  fleet.Submit("full", "urgent", workers, AnsweringFleet::Tasks(4, 2));
  fleet.Run(kSettleMs);
  for (int number = 0; number < kAccounts; ++number) {
    const auto account = "account" + std::to_string(number);
    fleet.Submit(account + ".", "batch", kWaitingJobs,
                 AnsweringFleet::Tasks(5, 1), account);
  }
  const auto before = fleet.dispatcher.load();
  fleet.Run(kSettleMs);
  const auto& after = fleet.dispatcher.load();
  EXPECT_GT(after.accounts, before.accounts);
  return static_cast<double>(after.accounts - before.accounts) /
         static_cast<double>(after.plans - before.plans);
}

// Guards against shares that cost a look at the fleet or at its runs: one look
// at each account that waits or has runs, in the one group that waits.
TEST(DispatcherCost, SharesCostALookAtEachAccountOnly) {
  constexpr double kAccountsWithRunsOrWaiting = 4;
  EXPECT_LE(AccountsPerPlan(kSmall.workers), kAccountsWithRunsOrWaiting);
  EXPECT_LE(AccountsPerPlan(kLarge.workers), kAccountsWithRunsOrWaiting);
}

}  // namespace
}  // namespace kcm::dispatch
