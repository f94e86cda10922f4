#include <gtest/gtest.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "LibNet/http_client.h"
#include "LibNet/http_server.h"
#include "platform/worker_client.h"

namespace kcm::adapter {
namespace {

auto DeeplyNested() -> std::string {
  constexpr std::size_t kDepth = 100000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// A worker that answers each call with a given status and body.
class WorkerAnswerTest : public testing::Test {
 protected:
  auto SendPoll(int status, const std::string& body) -> dispatch::CallResult {
    const auto process = static_cast<int>(getpid());
    const core::Address address{
        "127." + std::to_string(1 + process / 250 % 250) + "." +
            std::to_string(1 + process % 250) + ".9",
        7000};
    net::EventLoop loop;
    core::Reason reason;
    const auto server = net::HttpServer::create(
        loop, address,
        [&](const net::HttpRequest&, const net::HttpReply& reply) {
          reply.Send({status, {}, body});
        },
        reason);
    EXPECT_NE(server, nullptr) << reason.message;
    net::HttpClient http(loop);
    WorkerClient client(http);
    dispatch::WorkerCall call;
    call.worker = "w";
    call.address = address;
    call.command = dispatch::PollCall{};
    std::optional<dispatch::CallResult> result;
    client.Send(call, 1, 2000, [&](dispatch::CallResult given) {
      result = std::move(given);
      loop.Stop();
    });
    loop.Run();
    return result.value_or(dispatch::CallResult{});
  }
};

struct AnswerCase {
  std::string name;
  int status;
  std::string body;
  dispatch::CallEnd end;
  bool has_report = false;
  bool has_clock = false;
};

class OddWorkerAnswerTest : public WorkerAnswerTest,
                            public testing::WithParamInterface<AnswerCase> {};

// One worker with an odd answer must not end the process that calls it, nor
// every later one. An answer without one of its lists must not be taken for one
// that lists nothing: all that runs there would be started elsewhere.
TEST_P(OddWorkerAnswerTest, IsNoProofOfAnything) {
  const auto result = SendPoll(GetParam().status, GetParam().body);
  EXPECT_EQ(result.end, GetParam().end);
  EXPECT_EQ(result.report.has_value(), GetParam().has_report);
  EXPECT_EQ(result.clock_ms.has_value(), GetParam().has_clock);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    OddWorkerAnswerTest,
    testing::Values(
        AnswerCase{"good", 200,
                   R"({"clock_ms":5,"running":[],"ended_runs":[]})",
                   dispatch::CallEnd::kDone, true, true},
        AnswerCase{"no_lists", 200, R"({"clock_ms":5})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"no_runs", 200, R"({"clock_ms":5,"ended_runs":[]})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"no_ends", 200, R"({"clock_ms":5,"running":[]})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"runs_null", 200,
                   R"({"clock_ms":5,"running":null,"ended_runs":[]})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"ends_object", 200,
                   R"({"clock_ms":5,"running":[],"ended_runs":{}})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"reason_number", 409, R"({"clock_ms":5,"reason":7})",
                   dispatch::CallEnd::kUnknown, false, true},
        AnswerCase{"reason_unknown", 409, R"({"clock_ms":5,"reason":"odd"})",
                   dispatch::CallEnd::kUnknown, false, true},
        AnswerCase{"reason_deep", 409, "{\"reason\":" + DeeplyNested() + "}",
                   dispatch::CallEnd::kUnknown},
        AnswerCase{"empty", 200, "", dispatch::CallEnd::kDone},
        AnswerCase{
            "not_utf8", 200,
            "{\"clock_ms\":5,\"running\":[],\"ended_runs\":[],\"a\":\"\xff\"}",
            dispatch::CallEnd::kDone},
        AnswerCase{"clock_text", 200,
                   R"({"clock_ms":"5","running":[],"ended_runs":[]})",
                   dispatch::CallEnd::kDone},
        AnswerCase{"clock_negative", 200,
                   R"({"clock_ms":-1,"running":[],"ended_runs":[]})",
                   dispatch::CallEnd::kDone},
        AnswerCase{"clock_1e300", 200,
                   R"({"clock_ms":1e300,"running":[],"ended_runs":[]})",
                   dispatch::CallEnd::kDone},
        AnswerCase{
            "clock_2_63_less_1", 200,
            R"({"clock_ms":9223372036854775807,"running":[],"ended_runs":[]})",
            dispatch::CallEnd::kDone},
        AnswerCase{
            "clock_2_63", 200,
            R"({"clock_ms":9223372036854775808,"running":[],"ended_runs":[]})",
            dispatch::CallEnd::kDone},
        AnswerCase{
            "born_2_63", 200,
            R"({"clock_ms":5,"born":9223372036854775808,"running":[],"ended_runs":[]})",
            dispatch::CallEnd::kDone, false, true},
        AnswerCase{"born_negative", 200,
                   R"({"clock_ms":5,"born":-1,"running":[],"ended_runs":[]})",
                   dispatch::CallEnd::kDone, false, true},
        AnswerCase{"row_deep", 200,
                   R"({"clock_ms":5,"ended_runs":[],"running":[)" +
                       DeeplyNested() + "]}",
                   dispatch::CallEnd::kDone},
        AnswerCase{"rows_deep", 200,
                   R"({"clock_ms":5,"running":[],"ended_runs":)" +
                       DeeplyNested() + "}",
                   dispatch::CallEnd::kDone}),
    [](const auto& info) { return info.param.name; });

struct RowCase {
  std::string name;
  std::string list;
  std::string row;
};

class OddWorkerRowTest : public testing::TestWithParam<RowCase> {};

// A row with a number that no run can have is skipped; those beside it hold.
TEST_P(OddWorkerRowTest, IsSkippedAndTheOthersHold) {
  const auto report = DecodePollReport(core::Json::parse(
      R"({"clock_ms":5,"running":[["a.0.0.1",1,"",10])" +
      (GetParam().list == "running" ? "," + GetParam().row : "") +
      R"(],"ended_runs":[[1,"a.0.0.2",1,"done",""])" +
      (GetParam().list == "ended_runs" ? "," + GetParam().row : "") + "]}"));
  ASSERT_TRUE(report);
  EXPECT_EQ(report->running.size(), 1U);
  EXPECT_EQ(report->ended.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    OddWorkerRowTest,
    testing::Values(
        RowCase{"number", "running", "7"},
        RowCase{"short", "running", R"(["a.0.0.3",1])"},
        RowCase{"long_text", "running",
                "[\"" + std::string(1000000, 'x') + "\"]"},
        RowCase{"task_negative", "running", R"(["a.0.0.-1",1,"",0])"},
        RowCase{"task_step_2_63_less_1", "running",
                R"(["a.0.9223372036854775807.0",1,"",0])"},
        RowCase{"task_occurrence_2_62", "running",
                R"(["a.4611686018427387904.0.0",1,"",0])"},
        RowCase{"attempt_negative", "running", R"(["a.0.0.3",-1,"",0])"},
        RowCase{"attempt_2_63", "running",
                R"(["a.0.0.3",9223372036854775808,"",0])"},
        RowCase{"attempt_2_63_less_1", "running",
                R"(["a.0.0.3",9223372036854775807,"",0])"},
        RowCase{"attempt_text", "running", R"(["a.0.0.3","1","",0])"},
        RowCase{"number_negative", "ended_runs",
                R"([-1,"a.0.0.3",1,"done",""])"},
        RowCase{"number_2_63", "ended_runs",
                R"([9223372036854775808,"a.0.0.3",1,"done",""])"},
        RowCase{"number_2_63_less_1", "ended_runs",
                R"([9223372036854775807,"a.0.0.3",1,"done",""])"},
        RowCase{"how_unknown", "ended_runs", R"([2,"a.0.0.3",1,"odd",""])"},
        RowCase{"end_attempt_2_63", "ended_runs",
                R"([2,"a.0.0.3",9223372036854775808,"done",""])"}),
    [](const auto& info) { return info.param.name; });

struct EndsCase {
  std::string name;
  /// Rows that can be read, and odd ones after them.
  int rows;
  int odd_rows;
  bool has_report;
  bool has_all_ends;
};

class WorkerEndsTest : public testing::TestWithParam<EndsCase> {};

// Guards against a task that runs again after its end, because an answer with
// 500 ends, which is all that one has room for, was taken for a list of all.
// One of which nothing can be acknowledged would come again for ever.
TEST_P(WorkerEndsTest, AreAllThereIfTheAnswerHasRoomForMore) {
  auto ends = core::Json::array();
  for (int number = 1; number <= GetParam().rows; ++number) {
    ends.push_back({number, "a.0.0." + std::to_string(number), 1, "done", ""});
  }
  for (int number = 0; number < GetParam().odd_rows; ++number) {
    ends.push_back("odd");
  }
  const auto report = DecodePollReport({{"clock_ms", 5},
                                        {"running", core::Json::array()},
                                        {"ended_runs", ends}});
  ASSERT_EQ(report.has_value(), GetParam().has_report);
  if (report) {
    EXPECT_EQ(report->has_all_ends, GetParam().has_all_ends);
    EXPECT_EQ(report->ended.size(), GetParam().rows);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Lists,
    WorkerEndsTest,
    testing::Values(EndsCase{"none", 0, 0, true, true},
                    EndsCase{"room_for_one", 499, 0, true, true},
                    EndsCase{"full", 500, 0, true, false},
                    EndsCase{"full_with_odd_rows", 1, 499, true, false},
                    EndsCase{"odd_rows_only", 0, 500, false, false},
                    EndsCase{"some_odd_rows_only", 0, 499, true, true}),
    [](const auto& info) { return info.param.name; });

struct ProgressCase {
  std::string name;
  std::string percent;
  double read;
};

class WorkerProgressTest : public testing::TestWithParam<ProgressCase> {};

// Progress only estimates what is left of a run, so an odd one is limited: a
// run that is not listed counts as gone and would be started a second time.
TEST_P(WorkerProgressTest, IsLimitedAndItsRunStaysListed) {
  const auto report = DecodePollReport(
      core::Json::parse(R"({"clock_ms":5,"running":[["a.0.0.1",1,"",)" +
                        GetParam().percent + "]],\"ended_runs\":[]}"));
  ASSERT_TRUE(report);
  ASSERT_EQ(report->running.size(), 1U);
  EXPECT_EQ(report->running[0].percent, GetParam().read);
}

INSTANTIATE_TEST_SUITE_P(
    Percentages,
    WorkerProgressTest,
    testing::Values(ProgressCase{"usual", "41", 41},
                    ProgressCase{"fraction", "41.5", 41.5},
                    ProgressCase{"all", "100", 100},
                    ProgressCase{"negative", "-1", 0},
                    ProgressCase{"too_large", "101", 100},
                    ProgressCase{"1e300", "1e300", 100},
                    ProgressCase{"2_63", "9223372036854775808", 100}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::adapter
