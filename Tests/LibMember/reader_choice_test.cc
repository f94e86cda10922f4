#include "LibMember/reader_choice.h"

#include <gtest/gtest.h>

namespace kcm::member {
namespace {

struct ReaderCase {
  const char* name;
  std::vector<RelayView> alive;
  const char* reader;
};

class ReaderChoice : public testing::TestWithParam<ReaderCase> {};

TEST_P(ReaderChoice, IsTheSameForAll) {
  EXPECT_EQ(ChooseReader(GetParam().alive), GetParam().reader);
}

INSTANTIATE_TEST_SUITE_P(
    Relays,
    ReaderChoice,
    testing::Values(
        ReaderCase{"alone", {{"b", false, false}}, "b"},
        ReaderCase{"first_name", {{"b", true, true}, {"a", true, true}}, "a"},
        ReaderCase{"first_cannot_reach_the_log",
                   {{"a", true, false}, {"b", true, true}},
                   "b"},
        ReaderCase{"nobody_reaches_the_log",
                   {{"a", true, false}, {"b", true, false}},
                   "a"},
        ReaderCase{"newcomer_with_the_log_down",
                   {{"a", false, true}, {"b", true, false}},
                   "b"},
        ReaderCase{"all_new", {{"b", false, true}, {"a", false, true}}, "a"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::member
