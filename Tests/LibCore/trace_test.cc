#include "LibCore/trace.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace kcm::core {

namespace {

struct HeaderCase {
  std::string name;
  std::string header;
  bool valid;
};

class TraceparentTest : public testing::TestWithParam<HeaderCase> {};

TEST_P(TraceparentTest, AcceptsOnlyValidHeaders) {
  const auto context = ParseTraceparent(GetParam().header);
  EXPECT_EQ(context.has_value(), GetParam().valid);
  if (context) {
    EXPECT_EQ(ToTraceparent(*context), GetParam().header);
  }
}

const std::string kTrace(32, 'a');
const std::string kSpan(16, 'b');

INSTANTIATE_TEST_SUITE_P(
    Headers,
    TraceparentTest,
    testing::Values(
        HeaderCase{"Sampled", "00-" + kTrace + "-" + kSpan + "-01", true},
        HeaderCase{"NotSampled", "00-" + kTrace + "-" + kSpan + "-00", true},
        HeaderCase{"Empty", "", false},
        HeaderCase{"OtherVersion", "01-" + kTrace + "-" + kSpan + "-01", false},
        HeaderCase{"TooShort", "00-" + kTrace + "-" + kSpan + "-0", false},
        HeaderCase{"NotHexadecimal",
                   "00-" + std::string(32, 'x') + "-" + kSpan + "-01", false},
        HeaderCase{"ZeroTrace",
                   "00-" + std::string(32, '0') + "-" + kSpan + "-01", false},
        HeaderCase{"ZeroSpan",
                   "00-" + kTrace + "-" + std::string(16, '0') + "-01", false}),
    [](const auto& info) { return info.param.name; });

RC_GTEST_PROP(TraceparentProperty,
              ParsingNeverThrows,
              (const std::string& header)) {
  static_cast<void>(ParseTraceparent(header));
}

RC_GTEST_PROP(TraceProperty, ChildSpanKeepsTraceId, ()) {
  const auto parent = NewTrace(1);
  const auto child = ChildOf(parent);
  RC_ASSERT(parent.sampled && child.sampled);
  RC_ASSERT(child.trace_id == parent.trace_id);
  RC_ASSERT(child.span_id != parent.span_id);
  RC_ASSERT(ParseTraceparent(ToTraceparent(child)).has_value());
  RC_ASSERT(!NewTrace(0).sampled);
}

}  // namespace

}  // namespace kcm::core
