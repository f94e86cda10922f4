#include "LibEntry/peer_monitor.h"

#include <gtest/gtest.h>

#include "LibEntry/http_heartbeat_port.h"

namespace kcm::entry {
namespace {

/// Passes heartbeats to one process; nothing is sent.
class PeerMonitorTest : public testing::Test {
 protected:
  static auto Settings() -> EntrySettings {
    EntrySettings settings;
    settings.name = "self";
    settings.peer = {"127.0.0.1", 9};
    return settings;
  }

  static auto MakeHeartbeat(std::int64_t epoch,
                            const std::string& holder_address,
                            const std::string& from) -> PeerHeartbeat {
    PeerHeartbeat heartbeat;
    heartbeat.name = from;
    heartbeat.address = from;
    heartbeat.epoch = epoch;
    heartbeat.holder = "holder";
    heartbeat.holder_address = holder_address;
    heartbeat.is_holder = holder_address == from;
    heartbeat.hears_directly = true;
    return heartbeat;
  }

  auto Receive(const PeerHeartbeat& heartbeat) -> void {
    std::ignore = monitor_.HandleHeartbeat(heartbeat);
  }

  net::EventLoop loop_;
  net::HttpClient http_{loop_};
  PeerMonitor::LocalState local_state_;
  HttpHeartbeatPort heartbeats_{http_};
  PeerMonitor monitor_{heartbeats_, Settings(),
                       [this] { return local_state_; }};
};

// A holder that lost its term marked its successor's term as resigned and
// claimed at once; the two took the term from each other 88 times.
TEST_F(PeerMonitorTest, EndOfAPreviousTermDoesNotEndTheNewOne) {
  monitor_.OnTermWon({1, "self", {"127.0.0.1", 9}});
  Receive(MakeHeartbeat(2, "10.0.0.2:1", "10.0.0.2:1"));
  monitor_.OnTermEnded(1);
  EXPECT_EQ(monitor_.holder_view().epoch, 2);
  EXPECT_FALSE(monitor_.holder_view().resigned);
  EXPECT_TRUE(monitor_.RouteToHolder());
}

// Guards against a live term that its own holder reports as resigned: a peer
// that read the term from the store before the winner had handled the answer to
// its claim took it for resigned, and told the winner.
TEST_F(PeerMonitorTest, AHolderIgnoresReportsThatItResigned) {
  monitor_.OnTermWon({2, "self", {"127.0.0.1", 9}});
  local_state_.is_holder = true;
  auto report = MakeHeartbeat(2, "127.0.0.1:9", "10.0.0.2:1");
  report.resigned = true;
  const auto answer = monitor_.HandleHeartbeat(report);
  EXPECT_FALSE(answer.resigned);
  EXPECT_FALSE(monitor_.holder_view().resigned);
}

TEST_F(PeerMonitorTest, ARestartedHolderWithoutItsTermCountsAsResigned) {
  Receive(MakeHeartbeat(3, "10.0.0.2:1", "10.0.0.2:1"));
  auto restarted = MakeHeartbeat(0, ":0", "10.0.0.2:1");
  restarted.is_holder = false;
  Receive(restarted);
  EXPECT_TRUE(monitor_.holder_view().resigned);
  EXPECT_FALSE(monitor_.RouteToHolder());
}

/// A heartbeat of a holder that cannot count jobs.
struct UncountedCase {
  const char* name;
  bool is_holder;
  bool is_recovering;
};

class PeerMonitorUncounted : public PeerMonitorTest,
                             public testing::WithParamInterface<UncountedCase> {
};

// Guards against "no job waits" as the answer to callers while the next holder
// reads the state, or the last one has resigned: neither counts jobs.
TEST_P(PeerMonitorUncounted, DoesNotReplaceTheNumberOfWaitingJobs) {
  auto heartbeat = MakeHeartbeat(3, "10.0.0.2:1", "10.0.0.2:1");
  heartbeat.pending = {{"batch", 4}};
  Receive(heartbeat);
  heartbeat.pending.clear();
  heartbeat.is_holder = GetParam().is_holder;
  heartbeat.is_recovering = GetParam().is_recovering;
  Receive(heartbeat);
  EXPECT_EQ(monitor_.PendingJobs("batch"), 4);
}

INSTANTIATE_TEST_SUITE_P(
    Holders,
    PeerMonitorUncounted,
    testing::Values(UncountedCase{"Recovering", true, true},
                    UncountedCase{"Resigned", false, false}),
    [](const auto& info) { return info.param.name; });

TEST_F(PeerMonitorTest, RoutesThroughAPeerWithContactToTheHolder) {
  Receive(MakeHeartbeat(3, "10.0.0.2:1", "10.0.0.3:1"));
  const auto route = monitor_.RouteToHolder();
  ASSERT_TRUE(route);
  EXPECT_EQ(route->ToString(), "10.0.0.3:1");
}

TEST_F(PeerMonitorTest, IgnoresAnOlderTerm) {
  Receive(MakeHeartbeat(5, "10.0.0.2:1", "10.0.0.2:1"));
  Receive(MakeHeartbeat(4, "10.0.0.3:1", "10.0.0.3:1"));
  EXPECT_EQ(monitor_.holder_view().epoch, 5);
  EXPECT_EQ(monitor_.holder_view().address.ToString(), "10.0.0.2:1");
}

// A process that hears only the holder knew no other candidate when the holder
// failed, and claimed before better suited ones.
TEST_F(PeerMonitorTest, LearnsTheCapacityOfPeersFromTheHolder) {
  auto heartbeat = MakeHeartbeat(3, "10.0.0.2:1", "10.0.0.2:1");
  heartbeat.cpu_capacity = 0.25;
  heartbeat.notes = {{"10.0.0.3:1", 0.5, true, 300},
                     {"10.0.0.4:1", 0.5, false, 4000}};
  Receive(heartbeat);
  const auto live = monitor_.LivePeers();
  ASSERT_EQ(live.size(), 2U);
  EXPECT_EQ(live[0].cpu_capacity, 0.25);
  EXPECT_EQ(live[1].address, "10.0.0.3:1");
  EXPECT_EQ(live[1].cpu_capacity, 0.5);
  EXPECT_TRUE(live[1].is_store_remote);
}

/// Keeps heartbeats until the test answers them.
class HeldHeartbeats : public HeartbeatPort {
 public:
  struct Sent {
    core::Address peer;
    PeerHeartbeat heartbeat;
    Done done;
  };

  auto Send(const core::Address& peer,
            const PeerHeartbeat& heartbeat,
            Done done) -> void override {
    sent.push_back({peer, heartbeat, std::move(done)});
  }

  std::vector<Sent> sent;
};

struct FirstAnswerCase {
  const char* name;
  bool is_answered;
};

class BroadcastAfterAnother : public testing::TestWithParam<FirstAnswerCase> {};

// Guards against callers that are refused for a heartbeat's interval after each
// takeover: the end of a recovery that took less than a round trip was not told
// to those whose answer to its beginning was still on its way.
TEST_P(BroadcastAfterAnother, ReachesAPeerThatHasNotAnsweredTheFirst) {
  HeldHeartbeats port;
  EntrySettings settings;
  settings.name = "self";
  settings.peer = {"127.0.0.1", 9};
  settings.seeds = {{"10.0.0.2", 1}};
  PeerMonitor::LocalState local_state;
  local_state.is_holder = true;
  PeerMonitor monitor(port, settings, [&] { return local_state; });
  monitor.OnTermWon({2, "self", {"127.0.0.1", 9}});
  local_state.is_recovering = true;
  monitor.BroadcastHeartbeat();
  local_state.is_recovering = false;
  monitor.OnStateRead();
  monitor.BroadcastHeartbeat();
  monitor.BroadcastHeartbeat();
  ASSERT_EQ(port.sent.size(), 1U);
  EXPECT_TRUE(port.sent[0].heartbeat.is_recovering);
  PeerHeartbeat answer;
  answer.name = "peer";
  answer.address = "10.0.0.2:1";
  answer.holder_address = ":0";
  const auto first = port.sent[0].done;
  first(GetParam().is_answered ? std::optional(answer) : std::nullopt);
  ASSERT_EQ(port.sent.size(), 2U);
  EXPECT_FALSE(port.sent[1].heartbeat.is_recovering);
  const auto second = port.sent[1].done;
  second(answer);
  EXPECT_EQ(port.sent.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         BroadcastAfterAnother,
                         testing::Values(FirstAnswerCase{"Answered", true},
                                         FirstAnswerCase{"Lost", false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
