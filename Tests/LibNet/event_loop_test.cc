#include "LibNet/event_loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

namespace kcm::net {
namespace {

struct SignalCase {
  const char* name;
  int number;
};

class EventLoopSignals : public testing::TestWithParam<SignalCase> {};

// Terms.test_drain_hands_the_term_over_without_stopping_work sends SIGTERM
// twice. Once in four runs of CI the second one came after the loop was freed
// and before the process had ended, and ended it by the signal.
TEST_P(EventLoopSignals, AfterTheLoopDoNotEndTheProcess) {
  const auto number = GetParam().number;
  EXPECT_EXIT(
      {
        {
          EventLoop loop;
          loop.OnSignal(number, [] {});
        }
        std::raise(number);
        std::exit(0);
      },
      testing::ExitedWithCode(0), "");
}

INSTANTIATE_TEST_SUITE_P(Numbers,
                         EventLoopSignals,
                         testing::Values(SignalCase{"Term", SIGTERM},
                                         SignalCase{"Int", SIGINT},
                                         SignalCase{"Hup", SIGHUP}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::net
