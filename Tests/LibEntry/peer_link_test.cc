#include "LibEntry/peer_link.h"

#include <gtest/gtest.h>

namespace kcm::entry {
namespace {

/// One process that is told beats; nothing is sent.
class PeerLinkTest : public testing::Test {
 protected:
  static auto Settings() -> EntrySettings {
    EntrySettings settings;
    settings.name = "self";
    settings.peer = {"127.0.0.1", 9};
    return settings;
  }

  static auto BeatOf(std::int64_t epoch,
                     const std::string& holder_address,
                     const std::string& from) -> Beat {
    Beat beat;
    beat.name = from;
    beat.address = from;
    beat.epoch = epoch;
    beat.holder = "holder";
    beat.holder_address = holder_address;
    beat.is_holder = holder_address == from;
    beat.hears_directly = true;
    return beat;
  }

  auto Hear(const Beat& beat) -> void { std::ignore = link_.OnBeat(beat); }

  net::EventLoop loop_;
  net::HttpClient http_{loop_};
  PeerLink link_{http_, Settings(), [] { return PeerLink::Self{}; }};
};

// On a calm day a holder that lost its term marked its successor's term as
// given up, claimed at once, and the two took the term from each other 88
// times.
TEST_F(PeerLinkTest, TheEndOfAFormerTermSaysNothingOfTheNewOne) {
  link_.OnTermWon({1, "self", {"127.0.0.1", 9}});
  Hear(BeatOf(2, "10.0.0.2:1", "10.0.0.2:1"));
  link_.OnTermEnded(1);
  EXPECT_EQ(link_.belief().epoch, 2);
  EXPECT_FALSE(link_.belief().resigned);
  EXPECT_TRUE(link_.HolderRoute());
}

TEST_F(PeerLinkTest, AHolderThatForgotItsTermHasGivenItUp) {
  Hear(BeatOf(3, "10.0.0.2:1", "10.0.0.2:1"));
  auto restarted = BeatOf(0, ":0", "10.0.0.2:1");
  restarted.is_holder = false;
  Hear(restarted);
  EXPECT_TRUE(link_.belief().resigned);
  EXPECT_FALSE(link_.HolderRoute());
}

TEST_F(PeerLinkTest, AHolderHeardByOthersIsReachedThroughThem) {
  Hear(BeatOf(3, "10.0.0.2:1", "10.0.0.3:1"));
  const auto route = link_.HolderRoute();
  ASSERT_TRUE(route);
  EXPECT_EQ(route->ToString(), "10.0.0.3:1");
}

TEST_F(PeerLinkTest, AnOlderTermIsNotTakenBack) {
  Hear(BeatOf(5, "10.0.0.2:1", "10.0.0.2:1"));
  Hear(BeatOf(4, "10.0.0.3:1", "10.0.0.3:1"));
  EXPECT_EQ(link_.belief().epoch, 5);
  EXPECT_EQ(link_.belief().address.ToString(), "10.0.0.2:1");
}

}  // namespace
}  // namespace kcm::entry
