#include "LibNode/log_writer.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

#include "LibCore/clock.h"

namespace kcm::node {
namespace {

using platform::AppendOutcome;

/// Answers appends by a script and keeps what took effect.
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
constexpr ScriptedLog::Step kThrottle{AppendOutcome::kThrottled, false, true};
constexpr ScriptedLog::Step kLostAnswer{AppendOutcome::kUnknown, true, true};
constexpr ScriptedLog::Step kLostAppend{AppendOutcome::kUnknown, false, true};
constexpr ScriptedLog::Step kFrozen{AppendOutcome::kUnknown, false, false};

struct WriterCase {
  const char* name;
  std::deque<ScriptedLog::Step> script;
  OnRefused on_refused;
  bool read_back;
  core::ErrorKind verdict;
  std::int64_t edits;
  /// Whether the verdict has to come before the deadline.
  bool early;
};

class LogWriterVerdict : public testing::TestWithParam<WriterCase> {};

TEST_P(LogWriterVerdict, IsTrue) {
  constexpr core::Millis kDeadline = 1000;
  net::EventLoop loop;
  LogState log({});
  ScriptedLog client;
  client.script = GetParam().script;
  LogWriter writer(loop, log, client, "entry-1/gateway");
  state::Row row;
  row.account = "council";
  std::optional<state::Verdict> verdict;
  const auto deadline = core::MonotonicNow() + kDeadline;
  bool early = false;
  writer.Append(
      "table",
      state::MakeRecord(state::RecordKind::kRowEdited, "operator", row),
      deadline,
      [&](const state::Verdict& told) {
        EXPECT_FALSE(verdict) << "told twice";
        verdict = told;
        early = core::MonotonicNow() < deadline;
        loop.Stop();
      },
      GetParam().on_refused);
  if (GetParam().read_back) {
    loop.Every(1, [&] { log.ApplyRecords("table", 0, client.kept); });
  }
  loop.Run();
  ASSERT_TRUE(verdict);
  EXPECT_EQ(verdict->reason.kind, GetParam().verdict);
  EXPECT_EQ(early, GetParam().early);
  log.ApplyRecords("table", 0, client.kept);
  EXPECT_EQ(log.world().table().version(), GetParam().edits);
}

using Kind = core::ErrorKind;

INSTANTIATE_TEST_SUITE_P(
    Logs,
    LogWriterVerdict,
    testing::Values(
        WriterCase{"up", {}, OnRefused::kRetry, true, Kind::kNone, 1, true},
        WriterCase{"answer_lost",
                   {kLostAnswer},
                   OnRefused::kSettle,
                   true,
                   Kind::kNone,
                   1,
                   true},
        WriterCase{"append_lost",
                   {kLostAppend},
                   OnRefused::kSettle,
                   true,
                   Kind::kNone,
                   1,
                   true},
        WriterCase{"appended_twice",
                   {kLostAnswer, kLostAnswer},
                   OnRefused::kRetry,
                   true,
                   Kind::kNone,
                   1,
                   true},
        WriterCase{"refused_and_settled",
                   {kRefusal, kRefusal},
                   OnRefused::kSettle,
                   true,
                   Kind::kLogDown,
                   0,
                   true},
        WriterCase{"refused_and_retried",
                   {kRefusal, kRefusal},
                   OnRefused::kRetry,
                   true,
                   Kind::kNone,
                   1,
                   true},
        WriterCase{"throttled",
                   {kThrottle, kThrottle},
                   OnRefused::kSettle,
                   true,
                   Kind::kNone,
                   1,
                   true},
        WriterCase{"unknown_before_refused",
                   {kLostAnswer, kRefusal, kRefusal, kRefusal, kRefusal,
                    kRefusal, kRefusal, kRefusal, kRefusal},
                   OnRefused::kSettle,
                   false,
                   Kind::kOutcomeUnknown,
                   1,
                   false},
        WriterCase{"frozen",
                   {kFrozen},
                   OnRefused::kSettle,
                   false,
                   Kind::kOutcomeUnknown,
                   0,
                   false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::node
