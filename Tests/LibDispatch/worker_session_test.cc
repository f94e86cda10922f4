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

// A hunted day (workers-reborn-behind-a-cut, seed 440797647354) on lossy links:
// a look answered before a start was carried out, and its answer came after
// that of an earlier look that had waited and listed the run.
TEST(WorkerSession, AnOvertakenLookProvesNothing) {
  WorkerSession session(MakeWorker(), DispatchSettings{}, 0);
  std::ignore = session.OnLook({}, Report({}), 0, 0);
  session.Add(MakeRun("other"));
  ASSERT_EQ(session.TakeCalls(100, kStored, true).size(), 2U);
  StartCall started;
  started.task = {"other", 0, 0, 0};
  started.attempt = 1;
  CallResult done;
  done.end = CallEnd::kDone;
  std::ignore = session.OnStart(started, done, 110);

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

}  // namespace
}  // namespace kcm::dispatch
