#include "LibNode/log_writer.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

#include "LibCore/clock.h"

namespace kcm::node {
namespace {

using platform::AppendOutcome;

/// Answers appends according to a script and keeps the records that took
/// effect.
class ScriptedLog final : public platform::LogClient {
 public:
  struct Step {
    AppendOutcome outcome = AppendOutcome::kAppended;
    bool takes_effect = true;
    bool answers = true;
  };

  auto Append(const std::string& /*stream*/,
              const std::vector<core::Json>& records,
              AppendDone done) -> void override {
    const auto step = script.empty() ? Step{} : script.front();
    if (!script.empty()) {
      script.pop_front();
    }
    if (step.takes_effect) {
      kept.insert(kept.end(), records.begin(), records.end());
    }
    if (step.answers) {
      done(step.outcome);
    }
  }
  auto Read(const std::string& /*stream*/,
            std::int64_t /*from_offset*/,
            core::Millis /*wait*/,
            ReadDone /*done*/) -> void override {}

  std::deque<Step> script;
  std::vector<core::Json> kept;
};

constexpr ScriptedLog::Step kRefusal{AppendOutcome::kRefused, false, true};
constexpr ScriptedLog::Step kThrottled{AppendOutcome::kThrottled, false, true};
constexpr ScriptedLog::Step kLostAnswer{AppendOutcome::kUnknown, true, true};
constexpr ScriptedLog::Step kLostAppend{AppendOutcome::kUnknown, false, true};
constexpr ScriptedLog::Step kNoAnswer{AppendOutcome::kUnknown, false, false};

struct WriterCase {
  const char* name;
  std::deque<ScriptedLog::Step> script;
  RefusalPolicy refusal_policy;
  bool read_back;
  core::ErrorKind result;
  std::int64_t edits;
  /// Whether the result has to come before the deadline.
  bool early;
};

class LogWriterResult : public testing::TestWithParam<WriterCase> {};

TEST_P(LogWriterResult, MatchesTheLogAndComesOnce) {
  constexpr core::Millis kDeadline = 1000;
  net::EventLoop loop;
  LogState log({});
  ScriptedLog client;
  client.script = GetParam().script;
  LogWriter writer(loop, log, client, "entry-1/gateway");
  state::AccountRow row;
  row.account = "council";
  std::optional<state::ApplyResult> result;
  const auto deadline = core::MonotonicNow() + kDeadline;
  bool early = false;
  writer.Append(
      "table",
      state::MakeRecord(state::RecordKind::kRowEdited, "operator", row),
      deadline,
      [&](const state::ApplyResult& settled) {
        EXPECT_FALSE(result) << "settled twice";
        result = settled;
        early = core::MonotonicNow() < deadline;
        loop.Stop();
      },
      GetParam().refusal_policy);
  if (GetParam().read_back) {
    loop.Every(1, [&] { log.ApplyRecords("table", 0, client.kept); });
  }
  loop.Run();
  ASSERT_TRUE(result);
  EXPECT_EQ(result->reason.kind, GetParam().result);
  EXPECT_EQ(early, GetParam().early);
  log.ApplyRecords("table", 0, client.kept);
  EXPECT_EQ(log.cluster_state().table().version(), GetParam().edits);
}

using Kind = core::ErrorKind;

INSTANTIATE_TEST_SUITE_P(Logs,
                         LogWriterResult,
                         testing::Values(WriterCase{"LogUp",
                                                    {},
                                                    RefusalPolicy::kRetry,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{"AnswerLost",
                                                    {kLostAnswer},
                                                    RefusalPolicy::kFailFast,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{"AppendLost",
                                                    {kLostAppend},
                                                    RefusalPolicy::kFailFast,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{"AnswerLostTwice",
                                                    {kLostAnswer, kLostAnswer},
                                                    RefusalPolicy::kRetry,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{"RefusedFailsFast",
                                                    {kRefusal, kRefusal},
                                                    RefusalPolicy::kFailFast,
                                                    true,
                                                    Kind::kLogDown,
                                                    0,
                                                    true},
                                         WriterCase{"RefusedThenRetried",
                                                    {kRefusal, kRefusal},
                                                    RefusalPolicy::kRetry,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{"Throttled",
                                                    {kThrottled, kThrottled},
                                                    RefusalPolicy::kFailFast,
                                                    true,
                                                    Kind::kNone,
                                                    1,
                                                    true},
                                         WriterCase{
                                             "UnknownThenRefused",
                                             {kLostAnswer, kRefusal, kRefusal,
                                              kRefusal, kRefusal, kRefusal,
                                              kRefusal, kRefusal, kRefusal},
                                             RefusalPolicy::kFailFast,
                                             false,
                                             Kind::kOutcomeUnknown,
                                             1,
                                             false},
                                         WriterCase{"NoAnswer",
                                                    {kNoAnswer},
                                                    RefusalPolicy::kFailFast,
                                                    false,
                                                    Kind::kOutcomeUnknown,
                                                    0,
                                                    false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::node
