// Starts depend on how recently the holder has read the operators' table.

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/entry_service.h"
#include "answering_workers.h"
#include "term_holder_fixture.h"

namespace kcm::entry {
namespace {

/// Time after which starts are surely sent if they are allowed.
constexpr core::Millis kStartMs = 400;

/// A holder with one worker that is polled, and a job that waits for its start.
class HolderEvacuationTest : public TermHolderTest {
 protected:
  auto SetUp() -> void override {
    loop_.Every(5, [this] { AnswerCalls(); });
  }

  /// @param evacuate_ms see EntrySettings.
  auto SubmitWithBound(core::Millis evacuate_ms) -> void {
    settings_.evacuate_ms = evacuate_ms;
    holder_->SetSettings(settings_);
    ListWorkers(1);
    SendRequest(JobVerb::kSubmit, "a");
    RunUntil([&] { return answers_[0].has_value(); });
  }

  auto AnswerCalls() -> void {
    dispatch::CallResult result;
    result.end = dispatch::CallEnd::kDone;
    result.report = dispatch::PollReport{1, core::SuspendAwareNow(), {}, {}};
    for (const auto& done : workers_.TakeOpen()) {
      done(result);
    }
  }

  auto StartsWithin(core::Millis span) -> std::size_t {
    const auto before = workers_.starts;
    RunFor(span);
    return workers_.starts - before;
  }
};

// Guards against starts in a data centre that was evacuated while the holder
// could not read the operators' table, or was suspended.
TEST_F(HolderEvacuationTest, StartsOnlyWhileTheNewestReadIsRecent) {
  constexpr core::Millis kBoundMs = 1200;
  // Half of so short a bound is left for the way of a start.
  constexpr core::Millis kMaxAgeMs = kBoundMs / 2;
  SubmitWithBound(kBoundMs);
  EXPECT_EQ(StartsWithin(kStartMs), 0U) << "before the first read";
  holder_->SetEvacuationsCurrentAsOf(core::SuspendAwareNow());
  EXPECT_GT(StartsWithin(kStartMs), 0U);
  RunFor(kMaxAgeMs);
  const auto calls = workers_.calls;
  EXPECT_EQ(StartsWithin(kStartMs), 0U) << "after the read is too old";
  EXPECT_GT(workers_.calls, calls) << "polls go on";
  holder_->SetEvacuationsCurrentAsOf(core::SuspendAwareNow());
  EXPECT_GT(StartsWithin(kStartMs), 0U);
}

// The time of a read that never was is zero. On a machine that had been up for
// less than the bound, that counted as recent.
TEST_F(HolderEvacuationTest, StartsNothingBeforeItsFirstReadOnAYoungMachine) {
  SubmitWithBound(4 * core::SuspendAwareNow());
  EXPECT_EQ(StartsWithin(kStartMs), 0U);
  holder_->SetEvacuationsCurrentAsOf(core::SuspendAwareNow());
  EXPECT_GT(StartsWithin(kStartMs), 0U);
}

// The workers of this test share the clock of the holder.
TEST_F(HolderEvacuationTest, AStartMustBeginWithinTheBoundAfterTheRead) {
  constexpr core::Millis kBoundMs = 1600;
  SubmitWithBound(kBoundMs);
  const auto read_at = core::SuspendAwareNow();
  holder_->SetEvacuationsCurrentAsOf(read_at);
  ASSERT_GT(StartsWithin(kStartMs), 0U);
  EXPECT_LE(workers_.last_start_until, read_at + kBoundMs);
}

TEST_F(HolderEvacuationTest, StartsWithoutAReadIfThereIsNoBound) {
  SubmitWithBound(0);
  EXPECT_GT(StartsWithin(kStartMs), 0U);
}

/// What is wrong with the answers to reads of the operators' table.
struct ReadFault {
  const char* name;
  std::set<platform::Table> FakeStore::*tables;
};

/// One entry process that takes the term, with one worker in "a".
class ServiceEvacuationTest : public testing::TestWithParam<ReadFault> {
 protected:
  ServiceEvacuationTest() {
    core::Reason reason;
    metrics_ = node::Metrics::create(loop_, {"127.0.0.1", 0}, reason);
    decoders_.decode_evacuation_key = [](const std::string& key) {
      return key.starts_with("out/") ? std::optional(key.substr(4))
                                     : std::nullopt;
    };
    decoders_.decode_worker = [](const std::string& id, const std::string&,
                                 core::Reason&) {
      dispatch::WorkerInfo info;
      info.id = id;
      info.incarnation = 1;
      info.address = {"127.0.0.1", 9};
      info.data_centre = "a";
      return std::optional(info);
    };
    store_.tables[platform::Table::kFleet] = {{"w", "listed"}};
    OperatorRows() = {{"note", "{}"}};
  }

  auto OperatorRows() -> std::deque<dispatch::StateRow>& {
    return store_.tables[platform::Table::kConfiguration];
  }

  auto SetFault(bool is_faulty) -> void {
    auto& tables = store_.*GetParam().tables;
    if (is_faulty) {
      tables.insert(platform::Table::kConfiguration);
    } else {
      tables.erase(platform::Table::kConfiguration);
    }
  }

  /// Starts the process, and submits a job once it holds the term.
  auto StartAndSubmit() -> void {
    EntrySettings settings;
    settings.name = "p";
    // A network of its own, so that tests can run side by side.
    const auto process = static_cast<int>(getpid());
    settings.peer = {"127." + std::to_string(1 + process / 250 % 250) + "." +
                         std::to_string(1 + process % 250) + ".200",
                     7000};
    settings.evacuate_ms = kBoundMs;
    core::Reason reason;
    service_ = EntryService::create(
        {loop_, http_, store_, workers_, decoders_, *metrics_, traffic_},
        settings, reason);
    ASSERT_NE(service_, nullptr) << reason.message;
    ASSERT_TRUE(
        RunUntil([&] { return service_->PendingJobs("q").has_value(); }, 2000));
    HolderRequest request;
    request.verb = JobVerb::kSubmit;
    request.job = "a";
    request.spec.id = "a";
    request.spec.queue = "q";
    request.spec.steps = {dispatch::StepSpec{}};
    std::optional<HolderAnswer> answer;
    service_->holder_client().SendRequest(
        request, core::SuspendAwareNow() + 1000, false,
        [&](const HolderAnswer& given) { answer = given; });
    ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }, 1500));
    ASSERT_EQ(answer->error, core::ErrorKind::kNone);
  }

  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  /// Runs until a condition holds or the time has passed.
  auto RunUntil(const std::function<bool()>& reached, core::Millis limit)
      -> bool {
    const auto deadline = core::SuspendAwareNow() + limit;
    while (!reached() && core::SuspendAwareNow() < deadline) {
      RunFor(10);
    }
    return reached();
  }

  auto StartsWithin(core::Millis span) -> std::size_t {
    const auto before = workers_.starts;
    RunFor(span);
    return workers_.starts - before;
  }

  static constexpr core::Millis kBoundMs = 2000;
  static constexpr core::Millis kMaxAgeMs = kBoundMs / 2;

  net::EventLoop loop_;
  net::HttpClient http_{loop_};
  net::TrafficMeter traffic_;
  FakeStore store_{loop_};
  AnsweringWorkers workers_{loop_};
  PlatformDecoders decoders_;
  std::unique_ptr<node::Metrics> metrics_;
  std::unique_ptr<EntryService> service_;
};

// The store serves all other reads and takes appends, so that the process holds
// the term, accepts jobs and stores placements.
TEST_P(ServiceEvacuationTest, ANewHolderStartsNothingBeforeItHasReadTheTable) {
  SetFault(true);
  OperatorRows().push_back({"out/a", "{}"});
  StartAndSubmit();
  EXPECT_EQ(StartsWithin(kStartMs), 0U);
  SetFault(false);
  EXPECT_EQ(StartsWithin(2 * kStartMs), 0U) << "the data centre is evacuated";
  OperatorRows().push_back({"out/a", ""});
  EXPECT_TRUE(RunUntil([&] { return workers_.starts > 0; }, kBoundMs));
}

TEST_P(ServiceEvacuationTest, AHolderWhoseReadsBeginToFailStopsStarting) {
  StartAndSubmit();
  ASSERT_TRUE(RunUntil([&] { return workers_.starts > 0; }, kBoundMs));
  // Records are deleted, so that the complete table has to be read again.
  store_.unreadable_tables.insert(platform::Table::kConfiguration);
  RunFor(kMaxAgeMs + kStartMs);
  EXPECT_EQ(StartsWithin(kStartMs), 0U);
  store_.unreadable_tables.clear();
  EXPECT_TRUE(RunUntil([&] { return workers_.starts > 0; }, kBoundMs));
  EXPECT_GT(StartsWithin(kStartMs), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    ServiceEvacuationTest,
    testing::Values(ReadFault{"Unreadable", &FakeStore::unreadable_tables},
                    ReadFault{"SecondPageNeverArrives",
                              &FakeStore::without_last_page}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace kcm::entry
