// Ends of runs for which a worker's answer has no room.

#include <gtest/gtest.h>

#include <cstdlib>
#include <limits>

#include "dispatch_simulation.h"

namespace kcm::dispatch {
namespace {

constexpr int kJobs = 13;
constexpr int kTasksPerJob = 50;
constexpr core::Millis kRunMs = 2000;
/// Longer than the tasks run, shorter than a lease.
constexpr core::Millis kOutageMs = 4200;

/// What happens while more tasks end than an answer has room for.
struct CutCase {
  const char* name;
  /// Another holder adopts the runs before the store is back.
  bool takeover;
  /// The jobs are cancelled.
  bool cancel;
  std::size_t listed_ends;
  /// Time from the return of the store until the last end is handled: a pass
  /// through the store for each answer, and a pause of 500 ms at most before
  /// the first.
  core::Millis handled_within_ms;
};

class EndsCutShort : public testing::TestWithParam<CutCase> {
 protected:
  /// Runs all tasks on one worker until each is about to end.
  auto StartTasks() -> void {
    simulation.verbose = std::getenv("KCM_VERBOSE") != nullptr;
    simulation.AddWorkers(1);
    auto step = DispatchSimulation::Step(kTasksPerJob, 0, kRunMs);
    step.demand = {40, 100, 0};
    for (int job = 0; job < kJobs; ++job) {
      simulation.Submit(JobId(job), "batch", {step});
    }
    ASSERT_TRUE(simulation.RunUntil(
        [&] { return Starts() == kJobs * kTasksPerJob; }, 1500));
  }

  static auto JobId(int job) -> std::string {
    return "job" + std::to_string(job);
  }

  auto Starts() -> int {
    int sum = 0;
    for (const auto& [task, number] : simulation.invariants.starts) {
      sum += number;
    }
    return sum;
  }

  auto HaveEnded() -> bool {
    for (int job = 0; job < kJobs; ++job) {
      if (!IsEnded(simulation.PhaseOf(JobId(job)))) {
        return false;
      }
    }
    return true;
  }

  auto Session() -> const WorkerSession& {
    return simulation.dispatcher().sessions().at("w0");
  }

  DispatchSimulation simulation;
};

// Guards against tasks that run again after they were done: with the store away
// no end can be acknowledged, and those after the first 500 counted as runs
// that had vanished (review/7).
TEST_P(EndsCutShort, EachTaskRunsOnce) {
  StartTasks();
  simulation.workers.at("w0").set_max_listed_ends(GetParam().listed_ends);
  simulation.store_up = false;
  simulation.Run(kOutageMs / 2);
  if (GetParam().takeover) {
    simulation.ReplaceHolder();
  }
  if (GetParam().cancel) {
    for (int job = 0; job < kJobs; ++job) {
      simulation.Cancel(JobId(job));
    }
  }
  simulation.Run(kOutageMs / 2);
  simulation.AddWorkers(1);
  simulation.store_up = true;
  const auto are_handled = [&] {
    return HaveEnded() && Session().is_idle() &&
           simulation.workers.at("w0").ended().empty();
  };
  EXPECT_TRUE(simulation.RunUntil(are_handled, GetParam().handled_within_ms));
  EXPECT_EQ(Starts(), kJobs * kTasksPerJob);
  EXPECT_EQ(Session().used().millicores, 0);
  EXPECT_EQ(simulation.invariants.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    EndsCutShort,
    testing::Values(CutCase{"Outage", false, false, 500, 2000},
                    CutCase{"OutageAndTakeover", true, false, 500, 2000},
                    CutCase{"Cancelled", false, true, 500, 2000},
                    CutCase{"ManyAnswers", false, false, 50, 4000},
                    CutCase{"ManyAnswersAndTakeover", true, false, 50, 4000},
                    CutCase{"JustFull", false, false, 650, 2000}),
    [](const auto& info) { return info.param.name; });

/// How a worker goes while ends of it have not been read.
struct LossCase {
  const char* name;
  /// It crashes, and is back under its id; else it is cut off.
  bool crashes;
  core::Millis ended_within_ms;
};

class UnreadEnds : public testing::TestWithParam<LossCase> {};

// Guards against tasks that wait for ever, or whose capacity is held for ever,
// for ends that nobody can read any more.
TEST_P(UnreadEnds, AreGivenUpWithTheirWorker) {
  DispatchSimulation simulation;
  simulation.AddWorkers(1);
  auto step = DispatchSimulation::Step(20, 0, kRunMs);
  simulation.Submit("job", "batch", {step});
  ASSERT_TRUE(simulation.RunUntil(
      [&] { return simulation.RunsOf("job") == 20; }, 1500));
  simulation.workers.at("w0").set_max_listed_ends(5);
  simulation.store_up = false;
  simulation.Run(kOutageMs);
  ASSERT_EQ(simulation.workers.at("w0").ended().size(), 20U);
  simulation.AddWorkers(1);
  if (GetParam().crashes) {
    simulation.CrashWorker("w0");
  } else {
    simulation.unreachable.insert("w0");
    simulation.unlisted.insert("w0");
  }
  simulation.store_up = true;
  EXPECT_TRUE(simulation.RunUntil(
      [&] { return simulation.PhaseOf("job") == JobPhase::kCompleted; },
      GetParam().ended_within_ms));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         UnreadEnds,
                         // A crash shows when the worker is listed again; a cut
                         // when its leases have expired.
                         testing::Values(LossCase{"Crash", true, 8000},
                                         LossCase{"Cut", false, 18000}),
                         [](const auto& info) { return info.param.name; });

/// What the holder expects of a run that an answer does not list.
struct AbsenceCase {
  const char* name;
  RunPhase phase;
  /// A start was refused since the run had ended or was stopped.
  bool is_superseded = false;
};

class AbsenceTest : public testing::TestWithParam<AbsenceCase> {};

// Guards against a run that counts as gone, and whose task is placed anew,
// because an answer without room for all ends does not list it.
TEST_P(AbsenceTest, ProvesAnEndOnlyIfAllEndsAreListed) {
  WorkerInfo info;
  info.id = "w0";
  info.incarnation = 1;
  info.address = {"10.0.0.1", 1};
  WorkerSession session(
      info, DispatchSettings{},
      std::make_shared<FormerLeaseBound>(0, 0, ClockWitnesses{}));
  constexpr TermPermit kPermit{true, std::numeric_limits<core::Millis>::max()};
  dispatch::Run run;
  run.task = {"job", 0, 0, 0};
  run.attempt = 1;
  run.demand = {1000, 0, 0};
  run.phase = GetParam().phase;
  run.confirmed_at = 50;
  if (run.phase == RunPhase::kStopping) {
    run.stop_confirmed_at = 50;
  }
  session.AddRun(run);
  if (GetParam().is_superseded) {
    StartCall start;
    start.task = run.task;
    start.attempt = 1;
    CallResult refused;
    refused.end = CallEnd::kSuperseded;
    std::ignore = session.OnStart(start, refused, 50);
  }
  CallResult result;
  result.end = CallEnd::kDone;
  result.report = PollReport{};
  result.report->incarnation = 1;
  result.report->ended = {{1, {"other", 0, 0, 0}, 1, RunEnd::kDone, ""}};
  result.report->has_all_ends = false;
  EXPECT_EQ(session.OnPoll({}, result, 100, 110).size(), 1U);
  EXPECT_EQ(session.runs().size(), 1U);
  EXPECT_EQ(session.used().millicores, 1000);
  session.AcknowledgeEndsAfter(1);
  std::ignore = session.TakeCalls(110, 1, kPermit);
  auto whole = session;
  result.report->ended = {{2, {"job", 0, 0, 0}, 1, RunEnd::kDone, ""}};
  result.report->has_all_ends = true;
  const auto listed = session.OnPoll({}, result, 200, 210);
  ASSERT_EQ(listed.size(), 1U);
  EXPECT_EQ(listed[0].how, RunEnd::kDone);
  EXPECT_EQ(session.used().millicores, 0);
  // An answer with all ends, and without this one, shows that it is gone.
  result.report->ended.clear();
  const auto absent = whole.OnPoll({}, result, 200, 210);
  ASSERT_EQ(absent.size(), 1U);
  EXPECT_EQ(absent[0].how, RunEnd::kLost);
}

INSTANTIATE_TEST_SUITE_P(
    Phases,
    AbsenceTest,
    testing::Values(AbsenceCase{"Adopted", RunPhase::kAdopted},
                    AbsenceCase{"Running", RunPhase::kRunning},
                    AbsenceCase{"Stopping", RunPhase::kStopping},
                    AbsenceCase{"Superseded", RunPhase::kStarting, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::dispatch
