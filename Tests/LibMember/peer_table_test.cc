#include "LibMember/peer_table.h"

#include <gtest/gtest.h>

namespace kcm::member {
namespace {

constexpr SuspicionSettings kSettings{.suspect_after = 1000,
                                      .pause_after = 600};

struct SilenceCase {
  const char* name;
  /// Span over which this process ticks on while the peer is silent.
  core::Millis running;
  /// Span of the pause of this process after that.
  core::Millis paused;
  /// Span over which it ticks after the pause.
  core::Millis running_again;
  bool alive;
};

class PeerSilence : public testing::TestWithParam<SilenceCase> {};

TEST_P(PeerSilence, CountsOnlyWhileThisProcessRuns) {
  constexpr core::Millis kStart = 10000;
  constexpr core::Millis kPeriod = 200;
  PeerTable table(kSettings);
  table.Tick(kStart);
  table.Heard("peer", kStart);
  auto now = kStart;
  const auto run = [&](core::Millis span) {
    for (const auto end = now + span; now < end;) {
      now += kPeriod;
      table.Tick(now);
    }
  };
  run(GetParam().running);
  now += GetParam().paused;
  EXPECT_TRUE(GetParam().running > kSettings.suspect_after ||
              table.IsAlive("peer", now))
      << "at once on waking";
  run(GetParam().running_again);
  EXPECT_EQ(table.IsAlive("peer", now), GetParam().alive);
  EXPECT_EQ(table.Alive(now).size(), GetParam().alive ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Spans,
    PeerSilence,
    testing::Values(SilenceCase{"none", 0, 0, 0, true},
                    SilenceCase{"short", 800, 0, 0, true},
                    SilenceCase{"long", 1200, 0, 0, false},
                    SilenceCase{"own_pause", 0, 60000, 600, true},
                    SilenceCase{"after_own_pause", 0, 60000, 1800, false},
                    SilenceCase{"dead_before_own_pause", 1200, 60000, 0,
                                false}),
    [](const auto& info) { return info.param.name; });

TEST(PeerTable, ForgetsAPeerThatLeaves) {
  PeerTable table(kSettings);
  EXPECT_TRUE(table.Heard("peer", 1));
  EXPECT_FALSE(table.Heard("peer", 2));
  table.Forget("peer");
  EXPECT_FALSE(table.IsAlive("peer", 2));
}

}  // namespace
}  // namespace kcm::member
