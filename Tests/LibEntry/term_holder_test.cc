#include "LibEntry/term_holder.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/holder_client.h"
#include "fake_store.h"
#include "unresponsive_workers.h"

namespace kcm::entry {
namespace {

class TermHolderTest : public testing::Test {
 protected:
  TermHolderTest() {
    core::Reason reason;
    metrics_ = node::Metrics::create(loop_, {"127.0.0.1", 0}, reason);
    claim_.won = true;
    claim_.term = {1, "self", {"127.0.0.1", 9}};
    claim_.sequence = 1;
    store_.Append({EncodeTerm(claim_.term)}, {kWriterName, 1, 1}, std::nullopt,
                  1, [](platform::StoreAppendOutcome) {});
    holder_ = std::make_shared<TermHolder>(
        TermHolderDependencies{loop_, store_, workers_, decoders_, *metrics_},
        settings_, claim_, [this] { lost_ = true; });
    loop_.Every(5, [this] {
      if (holder_ != nullptr) {
        holder_->RunDueWork();
      }
    });
  }

  auto SendRequest(JobVerb verb, const std::string& job) -> void {
    HolderRequest request;
    request.verb = verb;
    request.job = job;
    request.spec.id = job;
    request.spec.steps = {dispatch::StepSpec{}};
    const auto index = answers_.size();
    answers_.emplace_back();
    holder_->HandleRequest(request, [this, index](const HolderAnswer& answer) {
      answers_[index] = answer;
    });
  }

  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  /// Runs until a condition holds; if it never does, the test hangs.
  auto RunUntil(const std::function<bool()>& reached) -> void {
    while (!reached()) {
      RunFor(5);
    }
  }

  net::EventLoop loop_;
  FakeStore store_{loop_};
  UnresponsiveWorkers workers_;
  PlatformDecoders decoders_;
  EntrySettings settings_;
  ClaimResult claim_;
  std::unique_ptr<node::Metrics> metrics_;
  std::shared_ptr<TermHolder> holder_;
  std::vector<std::optional<HolderAnswer>> answers_;
  bool lost_ = false;
};

TEST_F(TermHolderTest, AcceptsAJobAfterItIsStored) {
  SendRequest(JobVerb::kSubmit, "a");
  EXPECT_FALSE(answers_[0]);
  RunUntil([&] { return answers_[0].has_value(); });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kNone);
  EXPECT_TRUE(store_.state.contains("j/a"));
}

// While the store refuses all writes for seconds, submissions were held until
// their callers' deadlines, which left no time for a retry.
TEST_F(TermHolderTest, RefusesSubmissionsWhileTheStoreRefusesAppends) {
  store_.refuse = true;
  SendRequest(JobVerb::kSubmit, "a");
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0] && answers_[1]; });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kLogDown);
  EXPECT_EQ(answers_[1]->error, core::ErrorKind::kLogDown);
  SendRequest(JobVerb::kSubmit, "b");
  ASSERT_TRUE(answers_[2]);
  EXPECT_EQ(answers_[2]->error, core::ErrorKind::kLogDown);
  store_.refuse = false;
  RunUntil([&] { return holder_->StoreOutageMs() == 0; });
  SendRequest(JobVerb::kRead, "a");
  EXPECT_EQ(answers_[3]->error, core::ErrorKind::kGone);
  EXPECT_FALSE(store_.state.contains("j/a"));
}

TEST_F(TermHolderTest, KeepsASubmissionWhoseAppendHasAnUnknownOutcome) {
  store_.lose_answers = 1;
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0].has_value(); });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kNone);
}

TEST_F(TermHolderTest, LosesTheTermToANewerEpoch) {
  store_.Append({}, {kWriterName, 2, 7}, std::nullopt, 1,
                [](platform::StoreAppendOutcome) {});
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return lost_; });
  ASSERT_TRUE(answers_[0]);
  EXPECT_TRUE(answers_[0]->not_holder);
}

// The store refuses the holder's machine but serves its successor. In an
// incident of glintwater-sched the previous holder refused its callers for six
// seconds although the successor could have served them.
TEST_F(TermHolderTest, AnswersNotHolderAfterSteppingDown) {
  store_.lose_answers = 100;
  SendRequest(JobVerb::kSubmit, "a");
  holder_->StepDown();
  ASSERT_TRUE(answers_[0]);
  EXPECT_TRUE(answers_[0]->not_holder);
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kOutcomeUnknown);
  SendRequest(JobVerb::kSubmit, "b");
  ASSERT_TRUE(answers_[1]);
  EXPECT_TRUE(answers_[1]->not_holder);
  EXPECT_TRUE(lost_);
}

TEST_F(TermHolderTest, HolderClientAnswersARequestOnce) {
  net::HttpClient http(loop_);
  PeerMonitor peers(http, settings_, [] { return PeerMonitor::LocalState{}; });
  HolderClient client(loop_, http, peers, [this] { return holder_; });
  store_.lose_answers = 1;
  HolderRequest request;
  request.verb = JobVerb::kSubmit;
  request.job = "a";
  request.spec.id = "a";
  request.spec.steps = {dispatch::StepSpec{}};
  std::vector<HolderAnswer> answers;
  client.SendRequest(
      request, core::SuspendAwareNow() + 100, false,
      [&](const HolderAnswer& answer) { answers.push_back(answer); });
  RunUntil([&] { return !answers.empty(); });
  EXPECT_EQ(answers[0].error, core::ErrorKind::kOutcomeUnknown);
  RunUntil([&] { return store_.state.contains("j/a"); });
  RunFor(600);
  EXPECT_EQ(answers.size(), 1U);
}

}  // namespace
}  // namespace kcm::entry
