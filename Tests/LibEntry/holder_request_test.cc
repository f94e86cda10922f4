#include "LibEntry/holder_request.h"

#include <gtest/gtest.h>

namespace kcm::entry {
namespace {

class HolderRequestTest : public testing::TestWithParam<JobVerb> {};

// The document carries the specification for a submission only, and must lose
// nothing that the holder uses.
TEST_P(HolderRequestTest, KeepsWhatItsVerbNeeds) {
  HolderRequest request;
  request.verb = GetParam();
  request.job = "a";
  request.caller = {"open", "kim", true};
  request.spec.id = "a";
  request.spec.payload = "text";
  request.spec.steps = {dispatch::StepSpec{}};
  const core::Json document = request;
  const auto read = document.get<HolderRequest>();
  EXPECT_EQ(read.verb, request.verb);
  EXPECT_EQ(read.job, request.job);
  EXPECT_EQ(read.caller.queue, request.caller.queue);
  EXPECT_EQ(read.caller.account, request.caller.account);
  EXPECT_EQ(read.caller.is_public, request.caller.is_public);
  const auto is_submission = GetParam() == JobVerb::kSubmit;
  EXPECT_EQ(document.contains("spec"), is_submission);
  EXPECT_EQ(read.spec.payload, is_submission ? "text" : "");
  EXPECT_EQ(read.spec.steps.size(), is_submission ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Verbs,
                         HolderRequestTest,
                         testing::Values(JobVerb::kSubmit,
                                         JobVerb::kRead,
                                         JobVerb::kCancel));

}  // namespace
}  // namespace kcm::entry
