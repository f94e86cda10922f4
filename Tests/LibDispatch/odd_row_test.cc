#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/json.h"
#include "LibDispatch/job_table.h"
#include "LibDispatch/lease_row.h"

namespace kcm::dispatch {
namespace {

using core::Json;

constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
constexpr auto kHugeUnsigned = std::numeric_limits<std::uint64_t>::max();

auto ToBytes(const Json& document) -> std::string {
  const auto bytes = Json::to_msgpack(document);
  return {bytes.begin(), bytes.end()};
}

/// @return lists within lists, as MessagePack.
auto DeeplyNested() -> std::string {
  constexpr std::size_t kDepth = 100000;
  constexpr char kListOfOne = '\x91';
  constexpr char kZero = '\x00';
  return std::string(kDepth, kListOfOne) + kZero;
}

auto GoodSpec() -> Json {
  JobSpec spec;
  spec.queue = "q";
  StepSpec step;
  step.tasks = 2;
  spec.steps = {step, step};
  return spec;
}

auto JobRow(Json spec) -> std::string {
  return ToBytes({{"phase", "queued"}, {"spec", std::move(spec)}});
}

/// @return the row of a job in which a member of the specification, or of its
///     second step, is replaced.
auto WithMember(const std::string& member, const Json& value) -> std::string {
  auto spec = GoodSpec();
  spec[member] = value;
  return JobRow(std::move(spec));
}

auto WithStepMember(const std::string& member, const Json& value)
    -> std::string {
  auto spec = GoodSpec();
  spec["steps"][1][member] = value;
  return JobRow(std::move(spec));
}

auto WithDemand(const std::string& member, const Json& value) -> std::string {
  auto spec = GoodSpec();
  spec["steps"][1]["demand"][member] = value;
  return JobRow(std::move(spec));
}

struct RowCase {
  std::string name;
  std::string key;
  std::string value;
};

class OddStateRowTest : public testing::TestWithParam<RowCase> {};

// A holder reads all rows at each takeover: one that ends the process, or makes
// it allocate without bound, would end each successor as well.
TEST_P(OddStateRowTest, IsRejectedAndTheOthersAreLoaded) {
  JobTable table;
  std::vector<std::string> rejected;
  table.Load({{"j/a", JobRow(GoodSpec())},
              {GetParam().key, GetParam().value},
              {"j/z", JobRow(GoodSpec())},
              {"t/z.0.1.1", ToBytes({1, 3, 1, 1, "w", 5, "c"})}},
             [&](const std::string& key, const core::Reason& reason) {
               EXPECT_FALSE(reason.message.empty());
               rejected.push_back(key);
             });
  EXPECT_EQ(rejected, std::vector<std::string>{GetParam().key});
  ASSERT_EQ(table.live_jobs().size(), 2U);
  const auto* task = table.FindJob("z")->FindTask({"z", 0, 1, 1});
  ASSERT_NE(task, nullptr);
  EXPECT_EQ(task->attempt, 3);
  EXPECT_EQ(task->checkpoint, "c");
  for (const auto& step : table.FindJob("a")->steps) {
    EXPECT_EQ(step.done, 0);
    for (const auto& other : step.tasks) {
      EXPECT_EQ(other.phase, TaskPhase::kWaiting);
      EXPECT_EQ(other.attempt, 0);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Jobs,
    OddStateRowTest,
    testing::Values(
        RowCase{"no_messagepack", "j/b", "\xc1\xff"},
        RowCase{"deep", "j/b", DeeplyNested()},
        RowCase{"number", "j/b", ToBytes(7)},
        RowCase{"no_phase", "j/b", ToBytes({{"spec", GoodSpec()}})},
        RowCase{"spec_number", "j/b", JobRow(7)},
        RowCase{"tasks_1e18", "j/b",
                WithStepMember("tasks", std::int64_t{1000000000000000000})},
        RowCase{"tasks_negative", "j/b", WithStepMember("tasks", -1)},
        RowCase{"tasks_none", "j/b", WithStepMember("tasks", 0)},
        RowCase{"tasks_1e300", "j/b", WithStepMember("tasks", 1e300)},
        RowCase{"tasks_not_a_number", "j/b", WithStepMember("tasks", NAN)},
        RowCase{"estimate_huge", "j/b", WithStepMember("estimate_ms", kHuge)},
        RowCase{"after_itself", "j/b", WithStepMember("after", {1})},
        RowCase{"after_negative", "j/b", WithStepMember("after", {-1})},
        RowCase{"demand_negative", "j/b", WithDemand("millicores", -1)},
        RowCase{"demand_huge", "j/b", WithDemand("accelerators", kHuge)},
        RowCase{"limit_negative", "j/b", WithStepMember("max_per_worker", -1)},
        RowCase{"repeats_huge", "j/b", WithMember("repeats", kHuge)},
        RowCase{"repeats_2_64", "j/b", WithMember("repeats", kHugeUnsigned)},
        RowCase{"period_huge", "j/b", WithMember("period_ms", kHuge)},
        RowCase{"due_huge", "j/b", WithMember("first_due_at", kHuge)}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    Tasks,
    OddStateRowTest,
    testing::Values(
        RowCase{"task_deep", "t/a.0.1.1", DeeplyNested()},
        RowCase{"task_number", "t/a.0.1.1", ToBytes(7)},
        RowCase{"task_short", "t/a.0.1.1", ToBytes({2, 3, 1})},
        RowCase{"task_last_member_number", "t/a.0.1.1",
                ToBytes({2, 3, 1, 1, "w", 5, 6})},
        RowCase{"begun_number", "t/a.0.1.1",
                ToBytes({2, 3, 1, 1, "w", 5, "c", {0, 0, 0, 0}, 1})},
        RowCase{"phase_unknown", "t/a.0.1.1",
                ToBytes({3, 3, 1, 1, "w", 5, "c"})},
        RowCase{"phase_258", "t/a.0.1.1", ToBytes({258, 3, 1, 1, "w", 5, "c"})},
        RowCase{"phase_negative", "t/a.0.1.1",
                ToBytes({-1, 3, 1, 1, "w", 5, "c"})},
        RowCase{"phase_fraction", "t/a.0.1.1",
                ToBytes({1.5, 3, 1, 1, "w", 5, "c"})},
        RowCase{"attempt_huge", "t/a.0.1.1",
                ToBytes({1, kHuge, 1, 1, "w", 5, "c"})},
        RowCase{"attempt_negative", "t/a.0.1.1",
                ToBytes({1, -1, 1, 1, "w", 5, "c"})},
        RowCase{"failures_2_64", "t/a.0.1.1",
                ToBytes({1, 3, kHugeUnsigned, 1, "w", 5, "c"})},
        RowCase{"incarnation_1e300", "t/a.0.1.1",
                ToBytes({1, 3, 1, 1, "w", 1e300, "c"})},
        RowCase{"key_occurrence_huge", "t/a.4611686018427387904.0.0",
                ToBytes({1, 3, 1, 1, "w", 5, "c"})},
        RowCase{"key_not_utf8", "t/\xff\xfe.0.0.0",
                ToBytes({1, 3, 1, 1, "w", 5, "c"})},
        RowCase{"key_short", "t/", ToBytes({1, 3, 1, 1, "w", 5, "c"})}),
    [](const auto& info) { return info.param.name; });

class OddLeaseRowTest : public testing::TestWithParam<RowCase> {};

// A lease that ends at a time out of range would keep a worker's tasks from
// being placed again for ever, or let them count as gone while they run.
TEST_P(OddLeaseRowTest, IsRefused) {
  core::Reason reason;
  EXPECT_FALSE(DecodeLeaseRow({GetParam().key, GetParam().value}, reason));
  EXPECT_FALSE(reason.message.empty());
}

auto WithWitness(const Json& incarnation, const Json& clock) -> std::string {
  return ToBytes({5, 3000, 1, {{"v", incarnation, clock}}});
}

INSTANTIATE_TEST_SUITE_P(
    Leases,
    OddLeaseRowTest,
    testing::Values(
        RowCase{"deep", "l/w", DeeplyNested()},
        RowCase{"witnesses_deep", "l/w",
                std::string("\x94\x05\x05\x05") + DeeplyNested()},
        RowCase{"no_worker", "l/", ToBytes({5, 3000, 1})},
        RowCase{"remaining_negative", "l/w", ToBytes({5, -1, 1})},
        RowCase{"remaining_huge", "l/w", ToBytes({5, kHuge, 1})},
        RowCase{"remaining_2_64", "l/w", ToBytes({5, kHugeUnsigned, 1})},
        RowCase{"remaining_fraction", "l/w", ToBytes({5, 0.5, 1})},
        RowCase{"incarnation_2_64", "l/w", ToBytes({kHugeUnsigned, 3000, 1})},
        RowCase{"incarnation_negative", "l/w", ToBytes({-5, 3000, 1})},
        RowCase{"series_huge", "l/w", ToBytes({5, 3000, kHuge})},
        RowCase{"witness_clock_huge", "l/w", WithWitness(5, kHuge)},
        RowCase{"witness_clock_2_64", "l/w", WithWitness(5, kHugeUnsigned)},
        RowCase{"witness_clock_negative", "l/w", WithWitness(5, -1)},
        RowCase{"witness_clock_1e300", "l/w", WithWitness(5, 1e300)},
        RowCase{"witness_incarnation_huge", "l/w", WithWitness(kHuge, 5)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::dispatch
