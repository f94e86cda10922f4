// Requests at a holder that has been paused.

#include <gtest/gtest.h>
#include <unistd.h>

#include "term_holder_fixture.h"

namespace kcm::entry {
namespace {

struct PauseCase {
  const char* name;
  bool pauses;
  int lost;
};

class PausedHolder : public TermHolderTest,
                     public testing::WithParamInterface<PauseCase> {};

// Guards against a holder that takes its own pause for the time of an append
// and waits seconds for the next lost answer.
TEST_P(PausedHolder, AnswersReadsSoonAfterALostAnswer) {
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0].has_value(); });
  const auto before = store_.appends;
  RunUntil([&] { return store_.appends > before; });
  if (GetParam().pauses) {
    usleep(1300 * 1000);
  }
  RunFor(2);
  store_.lose_answers = GetParam().lost;
  const auto sent_at = core::SuspendAwareNow();
  SendRequest(JobVerb::kSubmit, "b");
  RunUntil([&] { return answers_[1].has_value(); });
  EXPECT_LE(core::SuspendAwareNow() - sent_at, 500 / 4 + 60);
}

// Guards against a read of a known job that gets no answer within its time from
// a holder that was paused and that the store no longer answers.
TEST_P(PausedHolder, AnswersReadsInTimeWhileTheStoreIsSilent) {
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0].has_value(); });
  const auto before = store_.appends;
  RunUntil([&] { return store_.appends > before; });
  if (GetParam().pauses) {
    usleep(1300 * 1000);
  }
  RunFor(2);
  const auto renewed = store_.appends;
  RunUntil([&] { return store_.appends > renewed; });
  RunFor(50);
  store_.silent = true;
  // Its last stored append becomes too old to answer from memory.
  RunFor(1210);
  const auto sent_at = core::SuspendAwareNow();
  SendRequest(JobVerb::kRead, "a");
  RunUntil([&] { return answers_[1].has_value(); });
  const auto took = core::SuspendAwareNow() - sent_at;
  EXPECT_LE(took, 2900);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         PausedHolder,
                         testing::Values(PauseCase{"NoPause", false, 1},
                                         PauseCase{"NothingLost", true, 0},
                                         PauseCase{"Pause", true, 1}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
