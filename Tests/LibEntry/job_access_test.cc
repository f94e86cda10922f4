#include "LibEntry/job_access.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "term_holder_fixture.h"

namespace kcm::entry {
namespace {

struct AccessCase {
  const char* name;
  dispatch::JobOwner owner;
  JobCaller caller;
  JobAccess access;
};

/// A holder with one job of the case's owner.
class JobAccessTest : public TermHolderTest,
                      public testing::WithParamInterface<AccessCase> {
 protected:
  JobAccessTest() {
    const auto& owner = GetParam().owner;
    Send(JobVerb::kSubmit, {owner.queue, owner.account, owner.account.empty()});
    RunUntil([&] { return answers_.back().has_value(); });
  }

  auto Send(JobVerb verb, const JobCaller& caller) -> void {
    HolderRequest request;
    request.verb = verb;
    request.job = "a";
    request.caller = caller;
    request.spec.id = "a";
    request.spec.queue = caller.queue;
    request.spec.account = caller.account;
    request.spec.steps = {dispatch::StepSpec{}};
    const auto index = answers_.size();
    answers_.emplace_back();
    holder_->HandleRequest(request, [this, index](const HolderAnswer& answer) {
      answers_[index] = answer;
    });
  }

  /// @return how the holder answers the case's caller.
  auto ErrorOf(JobVerb verb) -> core::ErrorKind {
    Send(verb, GetParam().caller);
    RunUntil([&] { return answers_.back().has_value(); });
    return answers_.back()->error;
  }

  /// Expects that the job is shown to the caller, or is as if there were none.
  auto ExpectAccess() -> void {
    const auto is_allowed = GetParam().access == JobAccess::kAllowed;
    EXPECT_EQ(ErrorOf(JobVerb::kRead),
              is_allowed ? core::ErrorKind::kNone : core::ErrorKind::kGone);
    EXPECT_EQ(ErrorOf(JobVerb::kSubmit),
              is_allowed ? core::ErrorKind::kNone : core::ErrorKind::kConflict);
  }

  /// Lets the next holder take over from the stored rows.
  auto TakeOver() -> void {
    ++claim_.term.epoch;
    claim_.sequence = 1;
    claim_.confirmed_at = core::SuspendAwareNow();
    store_.Append({EncodeTerm(claim_.term)},
                  {kWriterName, claim_.term.epoch, 1}, std::nullopt, 1,
                  [](platform::StoreAppendOutcome) {});
    claim_.rows.clear();
    for (const auto& [key, value] : store_.state) {
      claim_.rows.push_back({key, value});
    }
    holder_ = std::make_shared<TermHolder>(
        TermHolderDependencies{loop_, store_, workers_, decoders_, *metrics_},
        settings_, claim_, [] {});
  }
};

TEST_P(JobAccessTest, IsDecidedByQueueAndAccount) {
  EXPECT_EQ(CheckJobAccess(GetParam().owner, GetParam().caller),
            GetParam().access);
}

// Guards against a stranger who reads a job, ends it or is told that his own
// job of the same id is accepted, and against a job that is hidden from its
// caller; also after a takeover, while the job runs and after its end.
TEST_P(JobAccessTest, HoldsForEachVerbAndAfterATakeover) {
  ExpectAccess();
  TakeOver();
  ExpectAccess();
  const auto is_allowed = GetParam().access == JobAccess::kAllowed;
  EXPECT_EQ(ErrorOf(JobVerb::kCancel),
            is_allowed ? core::ErrorKind::kNone : core::ErrorKind::kGone);
  Send(JobVerb::kRead,
       {GetParam().owner.queue, GetParam().owner.account, true});
  RunUntil([&] { return answers_.back().has_value(); });
  EXPECT_EQ(answers_.back()->phase, is_allowed ? dispatch::JobPhase::kCancelled
                                               : dispatch::JobPhase::kQueued);
  Send(JobVerb::kCancel,
       {GetParam().owner.queue, GetParam().owner.account, true});
  RunUntil([&] { return answers_.back().has_value(); });
  TakeOver();
  ExpectAccess();
}

INSTANTIATE_TEST_SUITE_P(
    Callers,
    JobAccessTest,
    testing::Values(AccessCase{"OwnAccount",
                               {"jobs", "parks"},
                               {"jobs", "parks", false},
                               JobAccess::kAllowed},
                    AccessCase{"OtherAccount",
                               {"jobs", "parks"},
                               {"jobs", "roads", false},
                               JobAccess::kOtherAccount},
                    AccessCase{"NoAccount",
                               {"jobs", "parks"},
                               {"jobs", "", false},
                               JobAccess::kOtherAccount},
                    AccessCase{"NoAccountThroughAPublicQueue",
                               {"jobs", "parks"},
                               {"open", "", true},
                               JobAccess::kOtherQueue},
                    AccessCase{"OwnAccountThroughAnotherQueue",
                               {"jobs", "parks"},
                               {"open", "parks", true},
                               JobAccess::kOtherQueue},
                    AccessCase{"NoTokenOnAPublicQueue",
                               {"open", ""},
                               {"open", "", true},
                               JobAccess::kAllowed},
                    AccessCase{"TokenForAJobWithoutOne",
                               {"open", ""},
                               {"open", "parks", true},
                               JobAccess::kAllowed},
                    AccessCase{"NoTokenForAJobWithOne",
                               {"open", "parks"},
                               {"open", "", true},
                               JobAccess::kAllowed},
                    AccessCase{"OtherTokenOnAPublicQueue",
                               {"open", "parks"},
                               {"open", "roads", true},
                               JobAccess::kAllowed},
                    AccessCase{"TokenAfterTheQueueBecamePrivate",
                               {"open", ""},
                               {"open", "parks", false},
                               JobAccess::kAllowed},
                    AccessCase{"OtherTokenAfterTheQueueBecamePrivate",
                               {"open", "parks"},
                               {"open", "roads", false},
                               JobAccess::kOtherAccount}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
