#include "LibMember/peer_table.h"

#include <gtest/gtest.h>

namespace kcm::member {
namespace {

constexpr SuspicionSettings kSettings{.suspect_after_ms = 1000,
                                      .pause_after_ms = 600};

struct TimeoutCase {
  const char* name;
  /// Time for which this process runs while the peer is silent.
  core::Millis running;
  /// Length of the pause of this process after that.
  core::Millis paused;
  /// Time for which it runs after the pause.
  core::Millis running_again;
  bool alive;
};

class PeerTimeout : public testing::TestWithParam<TimeoutCase> {};

TEST_P(PeerTimeout, CountsOnlyWhileThisProcessRuns) {
  constexpr core::Millis kStart = 10000;
  constexpr core::Millis kPeriod = 200;
  PeerTable table(kSettings);
  table.RecordRunning(kStart);
  table.RecordHeartbeat("peer", kStart);
  auto now = kStart;
  const auto run = [&](core::Millis span) {
    for (const auto end = now + span; now < end;) {
      now += kPeriod;
      table.RecordRunning(now);
    }
  };
  run(GetParam().running);
  now += GetParam().paused;
  EXPECT_TRUE(GetParam().running > kSettings.suspect_after_ms ||
              table.IsAlive("peer", now))
      << "directly after the pause";
  run(GetParam().running_again);
  EXPECT_EQ(table.IsAlive("peer", now), GetParam().alive);
  EXPECT_EQ(table.AlivePeers(now).size(), GetParam().alive ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Spans,
    PeerTimeout,
    testing::Values(TimeoutCase{"None", 0, 0, 0, true},
                    TimeoutCase{"Short", 800, 0, 0, true},
                    TimeoutCase{"Long", 1200, 0, 0, false},
                    TimeoutCase{"OwnPause", 0, 60000, 600, true},
                    TimeoutCase{"AfterOwnPause", 0, 60000, 1800, false},
                    TimeoutCase{"DeadBeforeOwnPause", 1200, 60000, 0, false}),
    [](const auto& info) { return info.param.name; });

TEST(PeerTable, MarkedPeerIsDead) {
  PeerTable table(kSettings);
  EXPECT_TRUE(table.RecordHeartbeat("peer", 1));
  EXPECT_FALSE(table.RecordHeartbeat("peer", 2));
  table.MarkDead("peer");
  EXPECT_FALSE(table.IsAlive("peer", 2));
}

}  // namespace
}  // namespace kcm::member
