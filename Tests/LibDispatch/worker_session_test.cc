#include "LibDispatch/worker_session.h"

#include <gtest/gtest.h>

namespace kcm::dispatch {
namespace {

constexpr std::uint64_t kStored = 1;

auto MakeWorker() -> WorkerInfo {
  WorkerInfo info;
  info.id = "w0";
  info.life = 1;
  info.address = {"10.0.0.1", 1};
  return info;
}

auto MakeRun(const std::string& job) -> Run {
  Run run;
  run.task = {job, 0, 0, 0};
  run.attempt = 1;
  return run;
}

auto Report(const std::vector<std::string>& running) -> CallResult {
  CallResult result;
  result.end = CallEnd::kDone;
  result.report = LookReport{};
  result.report->life = 1;
  for (const auto& job : running) {
    result.report->running.push_back({{job, 0, 0, 0}, 1, "", 10});
  }
  return result;
}

auto StartOf(const std::string& job) -> StartCall {
  StartCall start;
  start.task = {job, 0, 0, 0};
  start.attempt = 1;
  return start;
}

// A hunted day (workers-reborn-behind-a-cut, seed 440797647354) on lossy links:
// a look answered before a start was carried out, and its answer came after
// that of an earlier look that had waited and listed the run.
TEST(WorkerSession, AnOvertakenLookProvesNothing) {
  WorkerSession session(MakeWorker(), DispatchSettings{}, 0);
  std::ignore = session.OnLook({}, Report({}), 0, 0);
  session.Add(MakeRun("other"));
  ASSERT_EQ(session.TakeCalls(100, kStored, true).size(), 2U);
  CallResult done;
  done.end = CallEnd::kDone;
  std::ignore = session.OnStart(StartOf("other"), done, 110);

  // The look that waits was sent at 100. The start goes out at 120, and at 150
  // a look that the worker answers before it.
  session.Add(MakeRun("job"));
  std::ignore = session.TakeCalls(120, kStored, true);
  LookCall quick;
  quick.quick = true;
  const auto early_answer = Report({"other"});
  EXPECT_TRUE(session.OnLook({}, Report({"other", "job"}), 100, 300).empty());
  EXPECT_TRUE(session.OnLook(quick, early_answer, 150, 310).empty());
  EXPECT_EQ(session.runs().size(), 2U);

  // A look sent after the run was seen proves that it is gone.
  EXPECT_EQ(session.OnLook(quick, Report({"other"}), 320, 330).size(), 1U);
}

/// @return the jobs whose runs the calls stop.
auto StoppedBy(const std::vector<WorkerCall>& calls)
    -> std::vector<std::string> {
  std::vector<std::string> jobs;
  for (const auto& call : calls) {
    if (const auto* stop = std::get_if<StopCall>(&call.what)) {
      jobs.push_back(stop->task.job);
    }
  }
  return jobs;
}

// Answers to a repeated start that say that the worker did nothing this time.
class WorkerSessionLostStart : public testing::TestWithParam<CallEnd> {};

// An order without an answer may be carried out seconds later, whatever the
// answer to its repetition: the run is stopped before its task may go on.
TEST_P(WorkerSessionLostStart, IsStoppedAndNotForgotten) {
  WorkerSession session(MakeWorker(), DispatchSettings{}, 0);
  std::ignore = session.OnLook({}, Report({}), 0, 0);
  session.Add(MakeRun("job"));
  std::ignore = session.TakeCalls(100, kStored, true);
  EXPECT_FALSE(session.OnStart(StartOf("job"), {}, 700));
  std::ignore = session.TakeCalls(900, kStored, true);
  CallResult refused;
  refused.end = GetParam();
  EXPECT_FALSE(session.OnStart(StartOf("job"), refused, 910));
  EXPECT_EQ(session.runs().size(), 1U);
  EXPECT_EQ(StoppedBy(session.TakeCalls(920, kStored, true)),
            std::vector<std::string>{"job"});
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         WorkerSessionLostStart,
                         testing::Values(CallEnd::kNoRoom,
                                         CallEnd::kInvalid,
                                         CallEnd::kUnhealthy,
                                         CallEnd::kOtherLife,
                                         CallEnd::kNeverSent),
                         [](const auto& info) {
                           return std::string(core::NameOf(info.param));
                         });

TEST(WorkerSession, StopsRunsThatNobodyKnows) {
  WorkerSession session(MakeWorker(), DispatchSettings{}, 0);
  std::ignore = session.OnLook({}, Report({"stranger"}), 0, 0);
  EXPECT_FALSE(session.is_usable());
  EXPECT_EQ(StoppedBy(session.TakeCalls(10, kStored, true)),
            std::vector<std::string>{"stranger"});
  CallResult done;
  done.end = CallEnd::kDone;
  session.OnStop({{"stranger", 0, 0, 0}, 1}, done, 20);
  std::ignore = session.OnLook({}, Report({}), 30, 40);
  EXPECT_TRUE(session.is_usable());
}

}  // namespace
}  // namespace kcm::dispatch
