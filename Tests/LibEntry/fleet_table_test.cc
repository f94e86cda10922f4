#include "LibEntry/fleet_table.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <tuple>
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
  EXPECT_TRUE(table.Apply({{{"a", "r1"}, {"b", "r2"}}, true, {}}, 0));
  EXPECT_EQ(table.Apply({GetParam().rows, GetParam().whole, 0}, 0),
            GetParam().changed);
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

struct RemovalCase {
  std::string name;
  /// What is read after the complete table, with a heartbeat of "a" that was
  /// written after 1000 ms.
  std::vector<dispatch::StateRow> rows;
  bool whole = false;
  /// Silences of removed workers, in ms; nothing where no heartbeat was seen.
  std::vector<std::optional<core::Millis>> silences;
};

class FleetTableRemoval : public testing::TestWithParam<RemovalCase> {};

// A worker whose listing is deleted right after a heartbeat has left; one that
// was silent for long may only be cut off and still run its tasks. A bound that
// is too low, or one for a worker that is merely missing, confuses the two.
TEST_P(FleetTableRemoval, TellsForHowLongAWorkerWasSilentAtMost) {
  PlatformDecoders decoders;
  decoders.decode_worker = DecodeRack;
  FleetTable table(decoders);
  std::ignore = table.Apply({{{"a", "r1"}, {"b", "r2"}}, true, {}}, 900);
  std::ignore = table.Apply({{{"a", "r1"}}, false, 1000}, 1400);
  std::ignore = table.Apply({GetParam().rows, GetParam().whole, 1400}, 3000);
  std::vector<std::optional<core::Millis>> silences;
  for (const auto& removal : table.TakeRemovals()) {
    silences.push_back(removal.max_silence_ms);
  }
  EXPECT_EQ(silences, GetParam().silences);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    FleetTableRemoval,
    testing::Values(
        RemovalCase{"deleted", {{"a", ""}}, false, {2000}},
        RemovalCase{"deleted_after_a_heartbeat",
                    {{"a", "r1"}, {"a", ""}},
                    false,
                    {1600}},
        RemovalCase{"no_heartbeat_seen", {{"b", ""}}, false, {std::nullopt}},
        RemovalCase{"unreadable", {{"a", "bad"}}, false, {}},
        RemovalCase{"missing_from_the_table", {{"b", "r2"}}, true, {}},
        RemovalCase{"not_listed", {{"c", ""}}, false, {}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
