#include <gtest/gtest.h>

#include "LibState/table_fold.h"

namespace kcm::state {

namespace {

struct CordonCase {
  std::string name;
  std::vector<Cordon> cordons;
  bool last_accepted;
  std::vector<std::string> cordoned;
};

class CordonTest : public testing::TestWithParam<CordonCase> {};

auto NamesOf(const TableFold& table) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& [worker, cordon] : table.cordons()) {
    names.push_back(worker);
  }
  return names;
}

TEST_P(CordonTest, IsAppliedAndSurvivesASnapshot) {
  TableFold table;
  Fleet fleet;
  fleet.workers.push_back({"worker-1", "hobart-a", "rack-1", 32, 1024, 8});
  fleet.workers.push_back({"worker-2", "hobart-a", "rack-1", 32, 1024, 8});
  ASSERT_TRUE(
      table.Apply(0, MakeRecord(RecordKind::kFleetRecorded, "test", fleet))
          .accepted);
  bool accepted = false;
  for (const auto& cordon : GetParam().cordons) {
    const auto record = MakeRecord(RecordKind::kWorkerCordoned, "test", cordon);
    accepted = table.Apply(table.next_offset(), record).accepted;
  }
  EXPECT_EQ(accepted, GetParam().last_accepted);
  EXPECT_EQ(NamesOf(table), GetParam().cordoned);
  TableFold copy;
  ASSERT_TRUE(copy.LoadSnapshot(table.ToSnapshot()));
  EXPECT_EQ(NamesOf(copy), GetParam().cordoned);
}

INSTANTIATE_TEST_SUITE_P(
    Cordons,
    CordonTest,
    testing::Values(
        CordonCase{"One", {{"worker-1", true, "", 0}}, true, {"worker-1"}},
        CordonCase{"Both",
                   {{"worker-2", true, "", 0}, {"worker-1", true, "", 0}},
                   true,
                   {"worker-1", "worker-2"}},
        CordonCase{"Lifted",
                   {{"worker-1", true, "", 0}, {"worker-1", false, "", 0}},
                   true,
                   {}},
        CordonCase{"UnknownWorker", {{"worker-9", true, "", 0}}, false, {}},
        CordonCase{"LiftedUnknownWorker",
                   {{"worker-9", false, "", 0}},
                   true,
                   {}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace kcm::state
