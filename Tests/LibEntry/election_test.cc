#include "LibEntry/election.h"

#include <gtest/gtest.h>

namespace kcm::entry {
namespace {

struct ElectionCase {
  const char* name;
  HolderBelief belief;
  core::Millis peer_heard_at;
  bool has_peers;
  /// Watch of the claim that is due, or nothing when none is.
  std::optional<core::Millis> watch_ms;
};

constexpr core::Millis kNow = 100000;

auto HeardAgo(core::Millis ago) -> HolderBelief {
  HolderBelief belief;
  belief.epoch = 3;
  belief.heard_at = kNow - ago;
  return belief;
}

auto Storeless(core::Millis span) -> HolderBelief {
  auto belief = HeardAgo(10);
  belief.storeless_since = kNow - span;
  return belief;
}

auto Resigned() -> HolderBelief {
  auto belief = HeardAgo(10);
  belief.resigned = true;
  return belief;
}

class ElectionDecides : public testing::TestWithParam<ElectionCase> {};

TEST_P(ElectionDecides, WhetherToClaim) {
  Election election({}, 0);
  const auto& param = GetParam();
  const auto plan =
      election.Decide(param.belief, param.peer_heard_at, param.has_peers, kNow);
  ASSERT_EQ(plan.has_value(), param.watch_ms.has_value());
  if (plan) {
    EXPECT_EQ(plan->watch_ms, *param.watch_ms);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Beliefs,
    ElectionDecides,
    testing::Values(
        ElectionCase{"HolderIsHeard", HeardAgo(300), kNow, true, std::nullopt},
        ElectionCase{"HolderIsSilent", HeardAgo(1000), kNow, true, 0},
        ElectionCase{"NobodyIsHeard", HeardAgo(1000), kNow - 1000, true, 2000},
        ElectionCase{"AloneInTheWorld", HeardAgo(1000), 0, false, 0},
        ElectionCase{"NoHolderYet", {}, kNow, true, 0},
        ElectionCase{"HolderResigned", Resigned(), kNow, true, 0},
        ElectionCase{"HolderBrieflyStoreless", Storeless(400), kNow, true,
                     std::nullopt},
        ElectionCase{"HolderStoreless", Storeless(1200), kNow, true, 0}),
    [](const auto& info) { return info.param.name; });

TEST(Election, WaitsItsRankAndThenItsRetry) {
  Election election({}, 200);
  EXPECT_FALSE(election.Decide({}, kNow, true, kNow));
  EXPECT_TRUE(election.Decide({}, kNow, true, kNow + 200));
  election.ClaimFailed(kNow + 200);
  EXPECT_FALSE(election.Decide({}, kNow, true, kNow + 300));
  EXPECT_TRUE(election.Decide({}, kNow, true, kNow + 800));
}

}  // namespace
}  // namespace kcm::entry
