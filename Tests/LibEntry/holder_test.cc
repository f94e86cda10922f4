#include "LibEntry/holder.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/holder_link.h"
#include "fake_store.h"

namespace kcm::entry {
namespace {

/// Workers that never answer.
class SilentWorkers : public platform::TaskPort {
 public:
  auto Send(const dispatch::WorkerCall& call,
            std::int64_t fence,
            core::Millis timeout,
            Done done) -> void override {
    std::ignore = std::tuple(call, fence, timeout, done);
  }
};

class HolderTest : public testing::Test {
 protected:
  HolderTest() {
    core::Reason reason;
    metrics_ = node::Metrics::create(loop_, {"127.0.0.1", 0}, reason);
    claim_.won = true;
    claim_.term = {1, "self", {"127.0.0.1", 9}};
    claim_.sequence = 1;
    store_.Append({EncodeTerm(claim_.term)}, {kWriterName, 1, 1}, std::nullopt,
                  1, [](platform::StoreEnd) {});
    holder_ = std::make_shared<Holder>(
        HolderParts{loop_, store_, workers_, boundary_, *metrics_}, settings_,
        claim_, [this] { lost_ = true; });
    loop_.Every(5, [this] {
      if (holder_ != nullptr) {
        holder_->Pump();
      }
    });
  }

  auto Ask(JobVerb verb, const std::string& job) -> void {
    HolderRequest request;
    request.verb = verb;
    request.job = job;
    request.spec.id = job;
    request.spec.steps = {dispatch::StepSpec{}};
    const auto index = answers_.size();
    answers_.emplace_back();
    holder_->Handle(request, [this, index](const HolderAnswer& answer) {
      answers_[index] = answer;
    });
  }

  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  /// Runs until a condition holds; a hang is the test's failure.
  auto RunUntil(const std::function<bool()>& reached) -> void {
    while (!reached()) {
      RunFor(5);
    }
  }

  net::EventLoop loop_;
  FakeStore store_{loop_};
  SilentWorkers workers_;
  Boundary boundary_;
  EntrySettings settings_;
  ClaimResult claim_;
  std::unique_ptr<node::Metrics> metrics_;
  std::shared_ptr<Holder> holder_;
  std::vector<std::optional<HolderAnswer>> answers_;
  bool lost_ = false;
};

TEST_F(HolderTest, AcceptsAJobOnceItIsStored) {
  Ask(JobVerb::kSubmit, "a");
  EXPECT_FALSE(answers_[0]);
  RunUntil([&] { return answers_[0].has_value(); });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kNone);
  EXPECT_TRUE(store_.state.contains("j/a"));
}

// The pattern: the store turns all writes away for seconds. Submissions were
// held until their callers' deadlines, who could not come again in time.
TEST_F(HolderTest, RefusesAtOnceWhatTheStoreProvablyDidNotTake) {
  store_.refuse = true;
  Ask(JobVerb::kSubmit, "a");
  Ask(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0] && answers_[1]; });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kLogDown);
  EXPECT_EQ(answers_[1]->error, core::ErrorKind::kLogDown);
  Ask(JobVerb::kSubmit, "b");
  ASSERT_TRUE(answers_[2]);
  EXPECT_EQ(answers_[2]->error, core::ErrorKind::kLogDown);
  store_.refuse = false;
  RunUntil([&] { return holder_->StorelessMs() == 0; });
  Ask(JobVerb::kRead, "a");
  EXPECT_EQ(answers_[3]->error, core::ErrorKind::kGone);
  EXPECT_FALSE(store_.state.contains("j/a"));
}

TEST_F(HolderTest, RefusesNothingThatTheStoreMayHaveTaken) {
  store_.lose_answers = 1;
  Ask(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0].has_value(); });
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kNone);
}

TEST_F(HolderTest, LosesItsTermToANewerEpoch) {
  store_.Append({}, {kWriterName, 2, 7}, std::nullopt, 1,
                [](platform::StoreEnd) {});
  Ask(JobVerb::kSubmit, "a");
  RunUntil([&] { return lost_; });
  ASSERT_TRUE(answers_[0]);
  EXPECT_TRUE(answers_[0]->not_holder);
}

// The pattern: the store turns the holder's machine away and serves its
// successor. In an incident of glintwater-sched the former holder refused its
// own callers for six seconds, though the successor could have served them.
TEST_F(HolderTest, HandsItsRequestsOnWhenItKnowsOfASuccessor) {
  store_.lose_answers = 100;
  Ask(JobVerb::kSubmit, "a");
  holder_->Abandon();
  ASSERT_TRUE(answers_[0]);
  EXPECT_TRUE(answers_[0]->not_holder);
  EXPECT_EQ(answers_[0]->error, core::ErrorKind::kOutcomeUnknown);
  Ask(JobVerb::kSubmit, "b");
  ASSERT_TRUE(answers_[1]);
  EXPECT_TRUE(answers_[1]->not_holder);
  EXPECT_TRUE(lost_);
}

TEST_F(HolderTest, ARequestThroughTheLinkIsAnsweredOnce) {
  net::HttpClient http(loop_);
  PeerLink peers(http, settings_, [] { return PeerLink::Self{}; });
  HolderLink link(loop_, http, peers, [this] { return holder_; });
  store_.lose_answers = 1;
  HolderRequest request;
  request.verb = JobVerb::kSubmit;
  request.job = "a";
  request.spec.id = "a";
  request.spec.steps = {dispatch::StepSpec{}};
  std::vector<HolderAnswer> answers;
  link.Ask(request, core::SuspendAwareNow() + 100, false,
           [&](const HolderAnswer& answer) { answers.push_back(answer); });
  RunUntil([&] { return !answers.empty(); });
  EXPECT_EQ(answers[0].error, core::ErrorKind::kOutcomeUnknown);
  RunUntil([&] { return store_.state.contains("j/a"); });
  RunFor(600);
  EXPECT_EQ(answers.size(), 1U);
}

}  // namespace
}  // namespace kcm::entry
