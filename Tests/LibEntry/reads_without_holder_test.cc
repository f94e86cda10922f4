// Reads of known jobs while the holder changes.

#include <gtest/gtest.h>
#include <optional>

#include "LibEntry/holder_client.h"
#include "LibEntry/http_heartbeat_port.h"
#include "term_holder_fixture.h"

namespace kcm::entry {
namespace {

// Guards against a read that is refused while the next holder takes over,
// though its caller waits two seconds more.
TEST_F(TermHolderTest, AReadWaitsForTheNextHolderUntilItsDeadline) {
  SendRequest(JobVerb::kSubmit, "a");
  RunUntil([&] { return answers_[0].has_value(); });
  net::HttpClient http(loop_);
  HttpHeartbeatPort heartbeats(http);
  PeerMonitor peers(heartbeats, settings_,
                    [] { return PeerMonitor::LocalState{}; });
  auto has_holder = false;
  HolderClient client(
      loop_, http, peers,
      [&] { return has_holder ? holder_ : std::shared_ptr<TermHolder>(); },
      [] { return true; });
  HolderRequest request;
  request.verb = JobVerb::kRead;
  request.job = "a";
  std::optional<HolderAnswer> answer;
  const auto sent_at = core::SuspendAwareNow();
  client.SendRequest(request, core::SuspendAwareNow() + 2900, false,
                     [&](const HolderAnswer& given) { answer = given; });
  loop_.After(1000, [&] { has_holder = true; });
  RunUntil([&] { return answer.has_value(); });
  EXPECT_EQ(answer->error, core::ErrorKind::kNone)
      << "after " << core::SuspendAwareNow() - sent_at << " ms";
}

}  // namespace
}  // namespace kcm::entry
