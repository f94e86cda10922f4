// Which data centres are evacuated, by the rows of the operators' table.

#include "LibEntry/evacuation_table.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kcm::entry {
namespace {

auto DecodeKey(const std::string& key) -> std::optional<std::string> {
  return key.starts_with("out/") ? std::optional(key.substr(4)) : std::nullopt;
}

struct Batch {
  bool whole = false;
  std::vector<dispatch::StateRow> rows;
  bool changes = false;
};

struct TableCase {
  const char* name;
  std::vector<Batch> batches;
  std::set<std::string> data_centres;
};

class EvacuationTableRows : public testing::TestWithParam<TableCase> {};

TEST_P(EvacuationTableRows, ShowTheEvacuatedDataCentres) {
  EvacuationTable table(DecodeKey);
  core::Millis now = 1000;
  for (const auto& batch : GetParam().batches) {
    EXPECT_EQ(table.Apply({batch.rows, batch.whole, std::nullopt}, ++now),
              batch.changes);
  }
  EXPECT_EQ(table.DataCentres(), GetParam().data_centres);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    EvacuationTableRows,
    testing::Values(
        TableCase{"Whole",
                  {{true, {{"config", "{}"}, {"out/a", "{}"}}, true}},
                  {"a"}},
        TableCase{
            "Two",
            {{true, {{"out/a", "{}"}}, true}, {false, {{"out/b", "{}"}}, true}},
            {"a", "b"}},
        TableCase{
            "TakenBack",
            {{true, {{"out/a", "{}"}}, true}, {false, {{"out/a", ""}}, true}},
            {}},
        // Both rows can arrive in one answer; the order of the log decides.
        TableCase{"TakenBackAndEvacuatedAgain",
                  {{true, {{"out/a", "{}"}}, true},
                   {false, {{"out/a", ""}, {"out/a", "{}"}}, false}},
                  {"a"}},
        // The deletion was read by nobody before the store dropped the record.
        TableCase{"MissingFromACompleteTable",
                  {{true, {{"out/a", "{}"}, {"out/b", "{}"}}, true},
                   {true, {{"out/b", "{}"}}, true}},
                  {"b"}},
        // A value that cannot be read arrives as an empty one.
        TableCase{"UnreadableValueInACompleteTable",
                  {{true, {{"out/a", ""}}, true}},
                  {"a"}},
        TableCase{"OtherRows",
                  {{true, {{"config", "{}"}}, false},
                   {false, {{"wave/1", "{}"}}, false}},
                  {}}),
    [](const auto& test) { return test.param.name; });

// An evacuation that is read again has not begun again.
TEST(EvacuationTableTest, KeepsTheTimeOfTheFirstRead) {
  EvacuationTable table(DecodeKey);
  EXPECT_TRUE(table.Apply({{{"out/a", "{}"}}, true, std::nullopt}, 1000));
  EXPECT_FALSE(table.Apply({{{"out/a", "{}"}}, true, std::nullopt}, 2000));
  EXPECT_EQ(table.since().at("a"), 1000);
}

}  // namespace
}  // namespace kcm::entry
