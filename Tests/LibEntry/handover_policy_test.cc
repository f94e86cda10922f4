#include "LibEntry/handover_policy.h"

#include <gtest/gtest.h>

namespace kcm::entry {
namespace {

constexpr core::Millis kNow = 100000;

struct HandoverCase {
  const char* name;
  Candidate self;
  Candidate peer;
  core::Millis held_for;
  bool is_idle;
  bool resigns;
};

class HandoverPolicyTest : public testing::TestWithParam<HandoverCase> {};

// A holder on a small VM kept the term until it broke down under load, while
// VMs with four times its capacity stood idle.
TEST_P(HandoverPolicyTest, ResignsOnlyForAClearlyLargerPeer) {
  const auto& param = GetParam();
  EXPECT_EQ(HandoverPolicy().ShouldResign(param.self, {param.peer},
                                          param.held_for, param.is_idle, kNow),
            param.resigns);
}

INSTANTIATE_TEST_SUITE_P(Peers,
                         HandoverPolicyTest,
                         testing::Values(HandoverCase{"Idle",
                                                      {"a", 0.12, false},
                                                      {"b", 0.5, false},
                                                      2000,
                                                      true,
                                                      true},
                                         HandoverCase{"JustClaimed",
                                                      {"a", 0.12, false},
                                                      {"b", 0.5, false},
                                                      1900,
                                                      true,
                                                      false},
                                         HandoverCase{"Busy",
                                                      {"a", 0.12, false},
                                                      {"b", 0.5, false},
                                                      9900,
                                                      false,
                                                      false},
                                         HandoverCase{"BusyForLong",
                                                      {"a", 0.12, false},
                                                      {"b", 0.5, false},
                                                      10000,
                                                      false,
                                                      true},
                                         HandoverCase{"Equal",
                                                      {"a", 0.25, false},
                                                      {"b", 0.25, false},
                                                      20000,
                                                      true,
                                                      false},
                                         HandoverCase{"PeerRemote",
                                                      {"a", 0.12, false},
                                                      {"b", 0.5, true},
                                                      20000,
                                                      true,
                                                      false},
                                         HandoverCase{"BothRemote",
                                                      {"a", 0.12, true},
                                                      {"b", 0.5, true},
                                                      20000,
                                                      true,
                                                      true},
                                         HandoverCase{"Unknown",
                                                      {"a", 0, false},
                                                      {"b", 0.5, false},
                                                      20000,
                                                      true,
                                                      false}),
                         [](const auto& info) { return info.param.name; });

TEST(HandoverPolicy, ResignsOnceAMinuteAtMost) {
  HandoverPolicy policy;
  const Candidate self{"a", 0.12, false};
  const std::vector<Candidate> peers = {{"b", 0.5, false}};
  policy.RecordResignation(kNow);
  EXPECT_FALSE(policy.ShouldResign(self, peers, 20000, true, kNow + 59000));
  EXPECT_TRUE(policy.ShouldResign(self, peers, 20000, true, kNow + 60000));
}

}  // namespace
}  // namespace kcm::entry
