#include "LibRequest/router.h"

#include <gtest/gtest.h>

namespace kcm::request {
namespace {

constexpr std::int64_t kMinionSlots = 8;

class RouterTest : public testing::Test {
 protected:
  RouterTest()
      : ledger_({"entry-1", {"entry-1"}, 1}, 0),
        router_({"hobart-a", "tas-south", RoutingStrategy::kLeastLoaded,
                 kMinionSlots},
                ledger_) {
    router_.SetMinions({{"near-1", "hobart-a", "tas-south"},
                        {"near-2", "hobart-a", "tas-south"},
                        {"near-3", "hobart-b", "tas-south"},
                        {"far-1", "launceston-a", "tas-north"}});
  }

  auto Acquire(core::Millis now, bool may_cross = false)
      -> std::optional<Route> {
    return router_.Acquire({no_minions_, now, now + 1000, true, may_cross});
  }

  /// Makes every request to the `failing` minions fail for one second.
  auto FailAllOn(const std::set<std::string>& failing) -> void {
    for (core::Millis now = 0; now < 1000; now += 10) {
      const auto route = Acquire(now);
      if (route && failing.contains(route->minion)) {
        router_.RecordFailure(*route, now, false);
      } else if (route) {
        router_.RecordAnswer(*route, now + 5);
      }
      (void)router_.UpdateHealth(now);
    }
  }

  /// @return the minions chosen until no slot is free.
  auto MinionsChosen(core::Millis now) -> std::set<std::string> {
    std::set<std::string> chosen;
    std::vector<Route> routes;
    while (const auto route = Acquire(now)) {
      chosen.insert(route->minion);
      routes.push_back(*route);
    }
    for (const auto& route : routes) {
      router_.RecordRefusal(route, now);
    }
    return chosen;
  }

  std::set<std::string> no_minions_;
  ShareLedger ledger_;
  Router router_;
};

TEST_F(RouterTest, UsesOnlySlotsOfItsRegionUnlessCrossingIsAllowed) {
  std::map<std::string, std::int64_t> taken;
  while (const auto route = Acquire(0)) {
    ++taken[route->minion];
  }
  EXPECT_EQ(taken,
            (std::map<std::string, std::int64_t>{{"near-1", kMinionSlots},
                                                 {"near-2", kMinionSlots},
                                                 {"near-3", kMinionSlots}}));
  const auto crossing = Acquire(0, true);
  ASSERT_TRUE(crossing.has_value());
  EXPECT_TRUE(crossing->crosses_regions);
}

TEST_F(RouterTest, SendsNoRequestsToALeavingMinion) {
  EXPECT_TRUE(router_.MarkLeaving("near-1", 0));
  EXPECT_FALSE(router_.MarkLeaving("near-1", 0));
  EXPECT_FALSE(MinionsChosen(1).contains("near-1"));
}

TEST_F(RouterTest, EjectsAFailingMinion) {
  FailAllOn({"near-1"});
  EXPECT_FALSE(MinionsChosen(1000).contains("near-1"));
}

TEST_F(RouterTest, EjectsAtMostHalfOfTheMinions) {
  FailAllOn({"near-1", "near-2", "near-3"});
  EXPECT_GE(MinionsChosen(1000).size(), 1U);
}

TEST_F(RouterTest, StopsSendingToAMinionThatDoesNotAnswer) {
  std::vector<Route> open;
  for (core::Millis now = 0; now < 3000; now += 10) {
    const auto route = Acquire(now);
    if (route && route->minion != "near-2") {
      router_.RecordAnswer(*route, now + 5);
    }
    (void)router_.UpdateHealth(now);
  }
  EXPECT_FALSE(MinionsChosen(3000).contains("near-2"));
}

TEST_F(RouterTest, HoldsTheSlotOfAnAbandonedAttemptThatMayStillRun) {
  std::vector<Route> open;
  while (auto route = Acquire(0)) {
    open.push_back(*route);
  }
  router_.RecordFailure(open.front(), 10, true);
  (void)ledger_.AdvanceTimers(20);
  EXPECT_FALSE(Acquire(20).has_value());
  (void)ledger_.AdvanceTimers(open.front().latest_end);
  EXPECT_TRUE(Acquire(open.front().latest_end).has_value());
}

}  // namespace
}  // namespace kcm::request
