#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "../LibEntry/fake_store.h"
#include "LibEntry/fleet_table.h"
#include "LibEntry/table_follower.h"
#include "platform/adapter.h"
#include "platform/worker_listing.h"

namespace kcm::adapter {
namespace {

using Members = std::map<std::string, std::string>;

auto DeeplyNested() -> std::string {
  constexpr std::size_t kDepth = 100000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

auto ToObject(const Members& members) -> std::string {
  std::string text;
  for (const auto& [name, value] : members) {
    text += text.empty() ? "{\"" : ",\"";
    text += name;
    text += "\":";
    text += value;
  }
  return text + "}";
}

/// @return a worker's entry in which one member is replaced, or absent for an
///     empty value. Members of the capacity have the prefix "capacity.".
auto EntryWith(const std::string& member, const std::string& value)
    -> std::string {
  Members entry = {{"service", "\"s\""},        {"address", "\"10.0.0.1:80\""},
                   {"zone", "\"z\""},           {"state", "\"ready\""},
                   {"labels", R"(["a","r1"])"}, {"born", "5"},
                   {"remaining_ms", "70"}};
  Members capacity = {{"cpu", "8000"}, {"mem_mb", "16000"}, {"gpu", "4"}};
  const std::string prefix = "capacity.";
  const auto is_nested = member.starts_with(prefix);
  auto& target = is_nested ? capacity : entry;
  target[is_nested ? member.substr(prefix.size()) : member] = value;
  std::erase_if(target, [](const auto& row) { return row.second.empty(); });
  entry.try_emplace("capacity", ToObject(capacity));
  return ToObject(entry);
}

struct EntryCase {
  std::string name;
  std::string member;
  std::string value;
};

/// A list of workers, followed with the decoders of the platform.
class FleetListTest : public testing::Test {
 protected:
  FleetListTest() : decoders_(MakeDecoders()), fleet_(decoders_) {}

  [[nodiscard]] auto Listed() const -> std::vector<std::string> {
    std::vector<std::string> ids;
    for (const auto& worker : fleet_.Workers()) {
      ids.push_back(worker.id);
    }
    return ids;
  }

  /// Runs until these workers are listed, for two seconds at most.
  auto RunUntilListed(const std::vector<std::string>& ids) -> bool {
    const auto deadline = core::SuspendAwareNow() + 2000;
    while (Listed() != ids && core::SuspendAwareNow() < deadline) {
      loop_.After(10, [this] { loop_.Stop(); });
      loop_.Run();
    }
    return Listed() == ids;
  }

  net::EventLoop loop_;
  entry::FakeStore store_{loop_};
  entry::PlatformDecoders decoders_;
  entry::FleetTable fleet_;
};

class OddEntryTest : public FleetListTest,
                     public testing::WithParamInterface<EntryCase> {};

// An entry of another writer with a value that no worker can have names no
// worker. Taken as it is, its numbers overflow in sums and times, and its
// address is looked up by name, which blocks the process.
TEST_P(OddEntryTest, IsRefusedWithAReason) {
  core::Reason reason;
  EXPECT_FALSE(DecodeWorkerListing(
      "w", EntryWith(GetParam().member, GetParam().value), reason));
  EXPECT_EQ(reason.kind, core::ErrorKind::kBadInput);
  EXPECT_FALSE(reason.message.empty());
}

// A process that stops following the list at an odd entry, or ends at it,
// misses all later changes, and so does every successor.
TEST_P(OddEntryTest, AffectsNoOtherEntryOfTheList) {
  const auto odd = EntryWith(GetParam().member, GetParam().value);
  const auto good = EntryWith("born", "7");
  auto& list = store_.tables[platform::Table::kFleet];
  list = {{"a", good}, {"b", odd}, {"c", good}};
  const entry::TableFollower follower(
      loop_, store_, {platform::Table::kFleet, 0, 1},
      [this](const entry::RowBatch& batch) {
        std::ignore = fleet_.Apply(batch, core::SuspendAwareNow());
      });
  EXPECT_TRUE(RunUntilListed({"a", "c"}));
  list.push_back({"d", good});
  list.push_back({"c", odd});
  list.push_back({"e", good});
  EXPECT_TRUE(RunUntilListed({"a", "d", "e"}));
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    OddEntryTest,
    testing::Values(
        EntryCase{"no_service", "service", ""},
        EntryCase{"no_address", "address", ""},
        EntryCase{"no_state", "state", ""},
        EntryCase{"no_labels", "labels", ""},
        EntryCase{"no_capacity", "capacity", "null"},
        EntryCase{"no_cpu", "capacity.cpu", ""},
        EntryCase{"service_number", "service", "7"},
        EntryCase{"service_deep", "service", DeeplyNested()},
        EntryCase{"service_not_utf8", "service", "\"\xff\""},
        EntryCase{"state_unknown", "state", "\"odd\""},
        EntryCase{"state_list", "state", "[\"ready\"]"},
        EntryCase{"labels_text", "labels", "\"a\""},
        EntryCase{"label_number", "labels", "[1]"},
        EntryCase{"label_deep", "labels", DeeplyNested()},
        EntryCase{"other_member_deep", "more", DeeplyNested()},
        EntryCase{"capacity_list", "capacity", "[8000,16000]"},
        EntryCase{"capacity_deep", "capacity", DeeplyNested()},
        EntryCase{"cpu_text", "capacity.cpu", "\"8000\""},
        EntryCase{"cpu_true", "capacity.cpu", "true"},
        EntryCase{"cpu_negative", "capacity.cpu", "-1"},
        EntryCase{"cpu_fraction", "capacity.cpu", "0.5"},
        EntryCase{"cpu_1e300", "capacity.cpu", "1e300"},
        EntryCase{"cpu_1e400", "capacity.cpu", "1e400"},
        EntryCase{"cpu_2_63", "capacity.cpu", "9223372036854775808"},
        EntryCase{"cpu_2_63_less_1", "capacity.cpu", "9223372036854775807"},
        EntryCase{"cpu_2_64", "capacity.cpu", "18446744073709551616"},
        EntryCase{"memory_negative", "capacity.mem_mb", "-1"},
        EntryCase{"memory_1e300", "capacity.mem_mb", "1e300"},
        EntryCase{"accelerators_negative", "capacity.gpu", "-1"},
        EntryCase{"accelerators_1e300", "capacity.gpu", "1e300"},
        EntryCase{"accelerators_null", "capacity.gpu", "null"},
        EntryCase{"born_negative", "born", "-1"},
        EntryCase{"born_fraction", "born", "5.5"},
        EntryCase{"born_1e300", "born", "1e300"},
        EntryCase{"born_2_63", "born", "9223372036854775808"},
        EntryCase{"born_text", "born", "\"5\""},
        EntryCase{"remaining_negative", "remaining_ms", "-1"},
        EntryCase{"remaining_1e300", "remaining_ms", "1e300"},
        EntryCase{"remaining_2_63_less_1", "remaining_ms",
                  "9223372036854775807"},
        EntryCase{"port_0", "address", "\"10.0.0.1:0\""},
        EntryCase{"port_65536", "address", "\"10.0.0.1:65536\""},
        EntryCase{"port_99999", "address", "\"10.0.0.1:99999\""},
        EntryCase{"port_negative", "address", "\"10.0.0.1:-1\""},
        EntryCase{"port_empty", "address", "\"10.0.0.1:\""},
        EntryCase{"host_name", "address", "\"foo:80\""},
        EntryCase{"host_short", "address", "\"10.0.1:80\""},
        EntryCase{"host_ipv6", "address", "\"[::1]:80\""},
        EntryCase{"host_space", "address", "\" 10.0.0.1:80\""},
        EntryCase{"host_zero_byte", "address", R"("10.0.0.1\u0000:80")"},
        EntryCase{"address_number", "address", "80"},
        EntryCase{"address_deep", "address", DeeplyNested()}),
    [](const auto& info) { return info.param.name; });

// The key of an entry is raw bytes; the log line on the entry shows it.
TEST_F(FleetListTest, AKeyThatIsNotTextDoesNotEndTheProcess) {
  EXPECT_TRUE(fleet_.Apply({{{"a", EntryWith("born", "7")},
                             {"\xff\xfe", "odd"},
                             {"b", EntryWith("born", "7")}},
                            true,
                            {}},
                           0));
  EXPECT_EQ(Listed(), (std::vector<std::string>{"a", "b"}));
}

struct IdCase {
  std::string name;
  std::string id;
};

class OddWorkerIdTest : public testing::TestWithParam<IdCase> {};

// The id is a header of each call to the worker and a part of the key of its
// lease row. An id that does not fit would cut the key and damage the row.
TEST_P(OddWorkerIdTest, IsRefused) {
  core::Reason reason;
  EXPECT_FALSE(
      DecodeWorkerListing(GetParam().id, EntryWith("born", "7"), reason));
  EXPECT_EQ(reason.kind, core::ErrorKind::kBadInput);
}

INSTANTIATE_TEST_SUITE_P(
    Ids,
    OddWorkerIdTest,
    testing::Values(IdCase{"empty", ""},
                    IdCase{"not_utf8", "\xff\xfe"},
                    IdCase{"line_end", "a\r\nb"},
                    IdCase{"zero_byte", std::string("a\0b", 3)},
                    IdCase{"too_long_for_a_key", std::string(254, 'a')}),
    [](const auto& info) { return info.param.name; });

struct AcceptedCase {
  std::string name;
  std::string member;
  std::string value;
};

class WorkerEntryTest : public testing::TestWithParam<AcceptedCase> {};

// A check that is too strict would leave sound workers without use.
TEST_P(WorkerEntryTest, IsAccepted) {
  core::Reason reason;
  EXPECT_TRUE(DecodeWorkerListing(
      "w", EntryWith(GetParam().member, GetParam().value), reason))
      << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    WorkerEntryTest,
    testing::Values(AcceptedCase{"whole_number_as_float", "capacity.cpu",
                                 "8000.0"},
                    AcceptedCase{"no_room", "capacity.cpu", "0"},
                    AcceptedCase{"no_accelerators", "capacity.gpu", ""},
                    AcceptedCase{"no_start_time", "born", ""},
                    AcceptedCase{"start_time", "born", "1796460000000"},
                    AcceptedCase{"no_remaining_time", "remaining_ms", ""},
                    AcceptedCase{"part_of_a_ms", "remaining_ms", "70.5"},
                    AcceptedCase{"no_labels", "labels", "[]"},
                    AcceptedCase{"other_member", "more", "1e300"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::adapter
