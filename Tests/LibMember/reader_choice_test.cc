#include "LibMember/reader_choice.h"

#include <gtest/gtest.h>

namespace kcm::member {
namespace {

struct ReaderCase {
  const char* name;
  std::vector<RelayStatus> alive;
  const char* reader;
};

class ReaderChoice : public testing::TestWithParam<ReaderCase> {};

TEST_P(ReaderChoice, PrefersReadyThenReachableThenFirstName) {
  EXPECT_EQ(ChooseReader(GetParam().alive), GetParam().reader);
}

INSTANTIATE_TEST_SUITE_P(
    Relays,
    ReaderChoice,
    testing::Values(
        ReaderCase{"SingleRelay", {{"b", false, false}}, "b"},
        ReaderCase{"FirstByName", {{"b", true, true}, {"a", true, true}}, "a"},
        ReaderCase{"FirstCannotReachTheLog",
                   {{"a", true, false}, {"b", true, true}},
                   "b"},
        ReaderCase{"NoneReachesTheLog",
                   {{"a", true, false}, {"b", true, false}},
                   "a"},
        ReaderCase{"NewRelayWhileLogIsDown",
                   {{"a", false, true}, {"b", true, false}},
                   "b"},
        ReaderCase{"NoneReady", {{"b", false, true}, {"a", false, true}}, "a"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::member
