#include "LibEntry/routes_confirmation.h"

#include <gtest/gtest.h>

#include <optional>

namespace kcm::entry {
namespace {

struct ConfirmationCase {
  const char* name;
  /// Age of the newest confirmation; nothing without one.
  std::optional<core::Millis> age_ms;
  bool is_store_away;
  /// When a read that is sent on demand ends; nothing if it gets no answer.
  std::optional<core::Millis> read_ms;
  core::Millis max_wait_ms;
  bool is_confirmed;
  /// Bounds on the time until the answer.
  core::Millis least_ms;
  core::Millis most_ms;
};

class RoutesConfirmationTest : public testing::TestWithParam<ConfirmationCase> {
};

// Guards against a final refusal by routes from before a pause or an outage,
// and against calls that are held for an answer that does not come.
TEST_P(RoutesConfirmationTest, WaitsForAReadOnlyAsLongAsItMayHelp) {
  const auto& param = GetParam();
  net::EventLoop loop;
  const auto began_at = core::SuspendAwareNow();
  RoutesAge age{param.age_ms ? began_at - *param.age_ms : 0,
                param.is_store_away};
  int reads = 0;
  RoutesConfirmation* confirmation = nullptr;
  RoutesConfirmation made(
      loop, [&] { return age; },
      [&] {
        ++reads;
        if (param.read_ms) {
          loop.After(*param.read_ms, [&, sent_at = core::SuspendAwareNow()] {
            age = {sent_at, false};
            confirmation->OnRead();
          });
        }
      });
  confirmation = &made;
  std::optional<bool> confirmed;
  made.Await(param.max_wait_ms, [&](bool given) {
    EXPECT_FALSE(confirmed);
    confirmed = given;
  });
  const auto is_at_once = confirmed.has_value();
  EXPECT_EQ(reads, is_at_once ? 0 : 1);
  loop.After(is_at_once ? 1 : 700, [&] { loop.Stop(); });
  std::optional<core::Millis> took;
  if (is_at_once) {
    took = core::SuspendAwareNow() - began_at;
  }
  loop.Every(5, [&] {
    if (confirmed && !took) {
      took = core::SuspendAwareNow() - began_at;
    }
  });
  loop.Run();
  ASSERT_TRUE(confirmed);
  EXPECT_EQ(*confirmed, param.is_confirmed);
  EXPECT_GE(*took, param.least_ms);
  EXPECT_LE(*took, param.most_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    RoutesConfirmationTest,
    testing::Values(
        ConfirmationCase{"Recent", 1000, false, std::nullopt, 3000, true, 0, 5},
        ConfirmationCase{"RecentBeforeAnOutage", 1000, true, std::nullopt, 3000,
                         true, 0, 5},
        ConfirmationCase{"AfterAPause", 4000, false, 30, 3000, true, 25, 250},
        ConfirmationCase{"NeverRead", std::nullopt, false, 30, 3000, true, 25,
                         250},
        ConfirmationCase{"SilentStore", 4000, false, std::nullopt, 3000, false,
                         490, 650},
        ConfirmationCase{"StoreKnownToBeAway", 4000, true, std::nullopt, 3000,
                         false, 90, 250},
        ConfirmationCase{"CallerThatWaitsNoLonger", 4000, false, std::nullopt,
                         50, false, 45, 200}),
    [](const auto& info) { return info.param.name; });

struct PauseCase {
  const char* name;
  core::Millis pause_ms;
  /// Time from the pause until the configuration is read; nothing for never.
  std::optional<core::Millis> read_ms;
  /// Whether calls are judged by what was known before the pause: when it ends,
  /// and 300 ms and 600 ms later.
  bool is_doubtful;
  bool is_doubtful_later;
  bool is_doubtful_at_last;
};

class PausedProcessTest : public testing::TestWithParam<PauseCase> {};

// Guards against a process that acts by a configuration from before a pause,
// and against one that serves nobody as long as the store is away.
TEST_P(PausedProcessTest, DoubtsItsRoutesUntilItHasReadThem) {
  net::EventLoop loop;
  RoutesAge age{core::SuspendAwareNow(), false};
  RoutesConfirmation confirmation(
      loop, [&] { return age; }, [] {});
  loop.Every(20, [&] { confirmation.CheckPause(); });
  const auto run_for = [&](core::Millis span) {
    loop.After(span, [&loop] { loop.Stop(); });
    loop.Run();
  };
  run_for(100);
  EXPECT_FALSE(confirmation.IsDoubtful());
  // The loop handles nothing meanwhile.
  for (const auto end = core::SuspendAwareNow() + GetParam().pause_ms;
       core::SuspendAwareNow() < end;) {
  }
  EXPECT_EQ(confirmation.IsDoubtful(), GetParam().is_doubtful);
  if (GetParam().read_ms) {
    loop.After(*GetParam().read_ms, [&, sent_at = core::SuspendAwareNow()] {
      age.current_as_of = sent_at;
      confirmation.OnRead();
    });
  }
  run_for(300);
  EXPECT_EQ(confirmation.IsDoubtful(), GetParam().is_doubtful_later);
  run_for(300);
  EXPECT_EQ(confirmation.IsDoubtful(), GetParam().is_doubtful_at_last);
}

INSTANTIATE_TEST_SUITE_P(
    Pauses,
    PausedProcessTest,
    testing::Values(PauseCase{"NoPause", 50, std::nullopt, false, false, false},
                    PauseCase{"Read", 800, 20, true, false, false},
                    PauseCase{"StoreAway", 800, std::nullopt, true, true,
                              false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
