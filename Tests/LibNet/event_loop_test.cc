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

// Guards against a process killed by a second SIGTERM: in one of four CI runs
// it arrived after the loop was freed and before the process exited, when
// libevent had restored the default handler.
TEST_P(EventLoopSignals, DoNotKillTheProcessOnceTheLoopIsDestroyed) {
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
