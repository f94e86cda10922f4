#include "LibEntry/fleet_table.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace kcm::entry {
namespace {

struct ChangeCase {
  std::string name;
  std::vector<dispatch::StateRow> rows;
  bool whole = false;
  bool changed = false;
  std::size_t workers = 0;
};

class FleetTableTest : public testing::TestWithParam<ChangeCase> {};

/// Reads the rack from a row; "bad" is unreadable.
auto DecodeRack(const std::string& id,
                const std::string& text,
                core::Reason& reason) -> std::optional<dispatch::WorkerInfo> {
  if (text == "bad") {
    return reason.Fail(core::ErrorKind::kBadInput, "", "unreadable");
  }
  dispatch::WorkerInfo info;
  info.id = id;
  info.rack = text;
  return info;
}

// Each worker repeats its row about once a second. Taking every row for a
// change sets the whole fleet anew several times a second; missing one leaves a
// worker that is gone or draining in use.
TEST_P(FleetTableTest, TellsWhetherAWorkerChanged) {
  PlatformDecoders decoders;
  decoders.decode_worker = DecodeRack;
  FleetTable table(decoders);
  EXPECT_TRUE(table.Apply({{"a", "r1"}, {"b", "r2"}}, true));
  EXPECT_EQ(table.Apply(GetParam().rows, GetParam().whole), GetParam().changed);
  EXPECT_EQ(table.Workers().size(), GetParam().workers);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    FleetTableTest,
    testing::Values(
        ChangeCase{"repeated", {{"b", "r2"}, {"a", "r1"}}, false, false, 2},
        ChangeCase{"none", {}, false, false, 2},
        ChangeCase{"new", {{"c", "r1"}}, false, true, 3},
        ChangeCase{"edited", {{"a", "r1"}, {"b", "r3"}}, false, true, 2},
        ChangeCase{"removed", {{"a", ""}, {"b", "r2"}}, false, true, 1},
        ChangeCase{"unknown_removed", {{"c", ""}}, false, false, 2},
        ChangeCase{"unreadable", {{"a", "bad"}}, false, true, 1},
        ChangeCase{"back", {{"a", ""}, {"a", "r1"}}, false, true, 2},
        ChangeCase{"whole_same", {{"a", "r1"}, {"b", "r2"}}, true, false, 2},
        ChangeCase{"whole_shorter", {{"a", "r1"}}, true, true, 1},
        ChangeCase{"whole_edited", {{"a", "r1"}, {"b", "r3"}}, true, true, 2}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
