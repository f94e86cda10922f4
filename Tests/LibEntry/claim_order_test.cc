#include "LibEntry/claim_order.h"

#include <gtest/gtest.h>

namespace kcm::entry {
namespace {

struct ClaimOrderCase {
  const char* name;
  Candidate self;
  Candidate peer;
  /// Delay beyond that of the same process without peers near the store.
  core::Millis extra_ms;
};

class ClaimOrderTest : public testing::TestWithParam<ClaimOrderCase> {};

// Term 1 fell to a VM with a fifth of the capacity of others, because the
// claim delay depended on the name alone; it could not place jobs in time.
TEST_P(ClaimOrderTest, DelaysClaimsOfLessSuitedProcesses) {
  auto base = GetParam().self;
  base.is_store_remote = false;
  EXPECT_EQ(
      ClaimDelay(GetParam().self, {GetParam().peer}) - ClaimDelay(base, {}),
      GetParam().extra_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Peers,
    ClaimOrderTest,
    testing::Values(
        ClaimOrderCase{"Equal", {"a", 0.25, false}, {"b", 0.25, false}, 0},
        ClaimOrderCase{"SlightlyMore", {"a", 0.3, false}, {"b", 0.5, false}, 0},
        ClaimOrderCase{"Twice", {"a", 0.25, false}, {"b", 0.5, false}, 300},
        ClaimOrderCase{"Less", {"a", 0.5, false}, {"b", 0.12, false}, 0},
        ClaimOrderCase{"Unknown", {"a", 0, false}, {"b", 0.5, false}, 0},
        ClaimOrderCase{"PeerUnknown", {"a", 0.5, false}, {"b", 0, false}, 0},
        ClaimOrderCase{"MoreButRemote",
                       {"a", 0.12, false},
                       {"b", 0.5, true},
                       0},
        ClaimOrderCase{"Remote", {"a", 0.5, true}, {"b", 0.5, false}, 500},
        ClaimOrderCase{"LessAndRemote",
                       {"a", 0.12, true},
                       {"b", 0.5, true},
                       800}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
