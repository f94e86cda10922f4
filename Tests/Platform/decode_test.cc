#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <fstream>

#include "LibCore/json_decode.h"
#include "platform/client_http.h"
#include "platform/configuration.h"
#include "platform/job_request.h"
#include "platform/node_file.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_listing.h"

namespace kcm::adapter {
namespace {

struct JobCase {
  const char* name;
  const char* body;
  /// Member named in the error; empty for a valid body.
  const char* field;
};

class JobRequest : public testing::TestWithParam<JobCase> {};

TEST_P(JobRequest, IsDecodedOrErrorNamesTheMember) {
  core::Reason reason;
  const auto job = DecodeJobRequest(GetParam().body, reason);
  EXPECT_EQ(job.has_value(), std::string(GetParam().field).empty())
      << reason.message;
  EXPECT_EQ(reason.field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    JobRequest,
    testing::Values(
        JobCase{"Good",
                R"({"task_spec":"t","phases":[{"count":2,"cpu":500,"gpu":1}]})",
                ""},
        JobCase{"UnknownMemberIsIgnored",
                R"({"task_spec":"t","more":1,"phases":[{"count":1,"x":{}}]})",
                ""},
        JobCase{"NoSteps", R"({"task_spec":"t"})", "phases"},
        JobCase{"EmptySteps", R"({"phases":[]})", "phases"},
        JobCase{"StepIsNoObject", R"({"phases":[3]})", "phases[0]"},
        JobCase{"NoTasks", R"({"phases":[{"cpu":1}]})", "count"},
        JobCase{"CountIsText", R"({"phases":[{"count":"2"}]})", "count"},
        JobCase{"NegativeCpu", R"({"phases":[{"count":1,"cpu":-1}]})", "cpu"},
        JobCase{"GangIsNumber", R"({"phases":[{"count":1,"gang":1}]})", "gang"},
        JobCase{"AfterItself", R"({"phases":[{"count":1,"after":[0]}]})",
                "after"},
        JobCase{"TooManyTasks", R"({"phases":[{"count":10001}]})", "count"},
        JobCase{
            "Scheduled",
            R"({"repeats":3,"start_at_ms":1796460000000,"period_ms":2000,"phases":[{"count":1}]})",
            ""},
        JobCase{"WholeNumberAsFloat", R"({"phases":[{"count":2.0}]})", ""},
        JobCase{"CountIsFraction", R"({"phases":[{"count":1.5}]})", "count"},
        JobCase{"CountBeyond64Bits",
                R"({"phases":[{"count":18446744073709551616}]})", "count"},
        JobCase{"HugeCpu",
                R"({"phases":[{"count":9999,"cpu":9223372036854775807}]})",
                "cpu"},
        JobCase{"UnsignedCpu",
                R"({"phases":[{"count":1,"cpu":9223372036854775808}]})", "cpu"},
        JobCase{
            "HugeEstimate",
            R"({"phases":[{"count":1,"est_runtime_ms":9223372036854775807}]})",
            "est_runtime_ms"},
        JobCase{"AfterIsFraction",
                R"({"phases":[{"count":1},{"count":1,"after":[0.5]}]})",
                "after"},
        JobCase{
            "HugePeriod",
            R"({"repeats":3,"period_ms":9223372036854775807,"phases":[{"count":1}]})",
            "period_ms"},
        JobCase{
            "HugeStart",
            R"({"repeats":3,"start_at_ms":9223372036854775807,"phases":[{"count":1}]})",
            "start_at_ms"},
        JobCase{"RepeatsIs1e300", R"({"repeats":1e300,"phases":[{"count":1}]})",
                "repeats"},
        JobCase{"PayloadIsDeep",
                R"({"task_spec":[[[]]],"phases":[{"count":1}]})", "task_spec"},
        JobCase{"TooManyRepeats",
                R"({"repeats":9000000000000,"phases":[{"count":1}]})",
                "repeats"}),
    [](const auto& info) { return info.param.name; });

TEST(JobRequest, NoJsonIsRefused) {
  core::Reason reason;
  EXPECT_FALSE(DecodeJobRequest("{", reason));
}

struct IdCase {
  const char* text;
  bool good;
};

class JobIds : public testing::TestWithParam<IdCase> {};

TEST_P(JobIds, AreSixteenHexadecimalDigits) {
  EXPECT_EQ(IsJobId(GetParam().text), GetParam().good);
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         JobIds,
                         testing::Values(IdCase{"5c0e7a21d94b36f8", true},
                                         IdCase{"5C0E7A21D94B36F8", true},
                                         IdCase{"", false},
                                         IdCase{"5c0e7a21d94b36f", false},
                                         IdCase{"5c0e7a21d94b36f88", false},
                                         IdCase{"5c0e7a21d94b36g8", false},
                                         IdCase{"5c0e7a21/94b36f8", false}));

struct ListingCase {
  const char* name;
  const char* text;
  bool good;
};

class Listings : public testing::TestWithParam<ListingCase> {};

TEST_P(Listings, OnlyValidOnesAreDecoded) {
  core::Reason reason;
  EXPECT_EQ(DecodeWorkerListing("w", GetParam().text, reason).has_value(),
            GetParam().good)
      << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    Listings,
    testing::Values(
        ListingCase{
            "Good",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2,"gpu":3},"labels":["a","r1"],"born":5})",
            true},
        ListingCase{
            "UnknownState",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd","capacity":{"cpu":1,"mem_mb":2},"labels":[]})",
            false},
        ListingCase{
            "NoCapacity",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","labels":[]})",
            false},
        ListingCase{
            "ServiceIsNumber",
            R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2},"labels":[]})",
            false},
        ListingCase{
            "BadAddress",
            R"({"service":"s","address":"nowhere","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2},"labels":[]})",
            false},
        ListingCase{"Bytes", "\xff\xfe", false}),
    [](const auto& info) { return info.param.name; });

TEST(Listing, AllFieldsAreDecoded) {
  core::Reason reason;
  const auto info = DecodeWorkerListing(
      "w",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","capacity":{"cpu":1,"mem_mb":2,"gpu":3},"labels":["a","r1"],"born":5,"remaining_ms":70})",
      reason);
  ASSERT_TRUE(info);
  EXPECT_TRUE(info->draining);
  EXPECT_EQ(info->rack, "r1");
  EXPECT_EQ(info->incarnation, 5);
  EXPECT_EQ(info->leaves_in_ms, 70);
  EXPECT_EQ(info->capacity, (dispatch::Resources{1, 2, 3}));
}

TEST(Configuration, IsDecodedAndIncompleteOneIsRefused) {
  core::Reason reason;
  const auto table = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/","service":"s","priority":1,"max_attempts":4,"slack_factor":3.0,"target_latency_ms":1200}],"tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":72}}]})",
      reason);
  ASSERT_TRUE(table) << reason.message;
  EXPECT_EQ(table->version, 7);
  EXPECT_EQ(table->FindRoute("h", "/p/x")->queue, "q");
  EXPECT_EQ(table->FindRoute("h", "/q/x"), nullptr);
  EXPECT_EQ(table->accounts.at("k"), "t");
  EXPECT_EQ(table->guarantees.at("t"), 72);
  EXPECT_FALSE(DecodeConfiguration(R"({"version":7})", reason));
}

struct ConfigurationCase {
  const char* name;
  /// Members of a route, and members of the configuration.
  const char* route;
  const char* more;
  bool is_read = false;
};

class Configurations : public testing::TestWithParam<ConfigurationCase> {};

// A configuration with a number out of range would be in force in all processes
// with whatever the number wraps to.
TEST_P(Configurations, AreReadOrRefusedWithAReason) {
  core::Reason reason;
  const auto table = DecodeConfiguration(
      std::string(R"({"version":7,"routes":[{"name":"q","host":"h",)") +
          R"("path_prefix":"/p/","service":"s")" + GetParam().route + "}]" +
          GetParam().more + "}",
      reason);
  EXPECT_EQ(table.has_value(), GetParam().is_read) << reason.message;
  EXPECT_EQ(reason.message.empty(), GetParam().is_read);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    Configurations,
    testing::Values(
        ConfigurationCase{"Plain", "", "", true},
        ConfigurationCase{"Numbers",
                          R"(,"priority":2,"max_attempts":4,"slack_factor":3,)"
                          R"("target_latency_ms":1200.5)",
                          R"(,"limits":{"max_body_bytes":1000})", true},
        ConfigurationCase{"NoKeys", "",
                          R"(,"tenants":[{"name":"t","api_keys":null}])", true},
        ConfigurationCase{"PriorityNegative", R"(,"priority":-1)", ""},
        ConfigurationCase{"Priority1e300", R"(,"priority":1e300)", ""},
        ConfigurationCase{"AttemptsBeyond64Bits",
                          R"(,"max_attempts":18446744073709551616)", ""},
        ConfigurationCase{"AttemptsFraction", R"(,"max_attempts":1.5)", ""},
        ConfigurationCase{"SlackNegative", R"(,"slack_factor":-1)", ""},
        ConfigurationCase{"Slack1e300", R"(,"slack_factor":1e300)", ""},
        ConfigurationCase{"LatencyHuge",
                          R"(,"target_latency_ms":9223372036854775807)", ""},
        ConfigurationCase{"ServiceNumber", R"(,"service":7)", ""},
        ConfigurationCase{"VersionUnsigned", "",
                          R"(,"version":9223372036854775808)"},
        ConfigurationCase{
            "GuaranteeNegative", "",
            R"(,"tenants":[{"name":"t","guaranteed":{"gpu":-1}}])"},
        ConfigurationCase{"GuaranteeList", "",
                          R"(,"tenants":[{"name":"t","guaranteed":[8]}])"},
        ConfigurationCase{"TenantWithoutName", "", R"(,"tenants":[{}])"},
        ConfigurationCase{"KeyNumber", "",
                          R"(,"tenants":[{"name":"t","api_keys":[7]}])"},
        ConfigurationCase{"BodyBytesNegative", "",
                          R"(,"limits":{"max_body_bytes":-1})"},
        ConfigurationCase{"AllLimits", "",
                          R"(,"limits":{"max_header_bytes":16384,)"
                          R"("max_body_bytes":262144,)"
                          R"("header_timeout_ms":3000,)"
                          R"("idle_timeout_ms":15000.5})",
                          true},
        ConfigurationCase{"HeaderBytesNegative", "",
                          R"(,"limits":{"max_header_bytes":-1})"},
        ConfigurationCase{"HeaderTimeoutNegative", "",
                          R"(,"limits":{"header_timeout_ms":-1})"},
        ConfigurationCase{"IdleTimeoutHuge", "",
                          R"(,"limits":{"idle_timeout_ms":1e300})"},
        ConfigurationCase{"LimitsNumber", "", R"(,"limits":7)"}),
    [](const auto& info) { return info.param.name; });

struct EvacuationKeyCase {
  const char* name;
  const char* key;
  std::optional<std::string> data_centre;
};

class EvacuationKeys : public testing::TestWithParam<EvacuationKeyCase> {};

// Guards against an evacuation that is overlooked, or read from another row.
TEST_P(EvacuationKeys, NameTheDataCentre) {
  EXPECT_EQ(DecodeEvacuationKey(GetParam().key), GetParam().data_centre);
}

INSTANTIATE_TEST_SUITE_P(
    Keys,
    EvacuationKeys,
    testing::Values(
        EvacuationKeyCase{"Plain", "evacuate/zone-a", "zone-a"},
        EvacuationKeyCase{"WithSlash", "evacuate/north/1", "north/1"},
        EvacuationKeyCase{"WithBlank", "evacuate/zone a", "zone a"},
        EvacuationKeyCase{"OwnPrefix", "evacuate/evacuate/", "evacuate/"},
        EvacuationKeyCase{"NoName", "evacuate/", std::nullopt},
        EvacuationKeyCase{"NoSlash", "evacuate", std::nullopt},
        EvacuationKeyCase{"OtherCase", "Evacuate/zone-a", std::nullopt},
        EvacuationKeyCase{"Within", "x/evacuate/zone-a", std::nullopt},
        EvacuationKeyCase{"Configuration", "config", std::nullopt},
        EvacuationKeyCase{"Empty", "", std::nullopt}),
    [](const auto& info) { return info.param.name; });

// Guards against a client server that applies limits which the operators did
// not set, or that refuses everything for a limit of zero.
TEST(Configuration, GivesTheLimitsOfClients) {
  core::Reason reason;
  const auto set = DecodeConfiguration(
      R"({"version":1,"routes":[],"limits":{"max_header_bytes":2000,)"
      R"("max_body_bytes":0,"header_timeout_ms":40}})",
      reason);
  ASSERT_TRUE(set) << reason.message;
  const auto limits = set->ClientLimits();
  EXPECT_EQ(limits.max_header_bytes, 2000U);
  EXPECT_EQ(limits.max_body_bytes, 262144U);
  EXPECT_EQ(limits.header_timeout_ms, 40);
  EXPECT_EQ(limits.idle_timeout_ms, 15000);
}

TEST(Records, AreDecodedAsEncoded) {
  const std::vector<dispatch::StateRow> rows = {{"a", "1"}, {"b", ""}};
  const std::string offsets("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x07", 16);
  const auto read = DecodeRecords(offsets + EncodeRecords(rows));
  ASSERT_TRUE(read.answered);
  EXPECT_EQ(read.end_offset, 9);
  EXPECT_EQ(read.first_offset, 7);
  ASSERT_EQ(read.rows.size(), 2U);
  EXPECT_EQ(read.rows[0].value, "1");
  EXPECT_EQ(read.rows[1].value, "");
}

TEST(RetryAfter, IsRoundedUpToWholeSeconds) {
  entry::ClientAnswer answer;
  answer.reason.kind = core::ErrorKind::kLogDown;
  answer.retry_after_ms = 1200;
  const auto http = EncodeClientAnswer(answer);
  EXPECT_EQ(http.status, 503);
  EXPECT_EQ(http.header("retry-after"), "2");
}

auto ReadNodeText(const std::string& text, core::Reason& reason)
    -> std::optional<entry::EntrySettings> {
  const auto path = testing::TempDir() + "kcm-node.toml";
  std::ofstream(path) << text;
  return ReadNodeFile(path, reason);
}

constexpr auto kNodeText = R"(node_name = "n"
zone = "z"
region = "r"
ip = "127.0.0.1"
seeds = ["127.0.0.2:7000"]
[listen]
front = "127.0.0.1:7001"
ready = "127.0.0.1:7002"
control = "127.0.0.1:7000"
[platform]
address = "127.0.0.1:7003"
[bounds]
grace_s = 6
max_hold_ms = 6000
gang_timeout_ms = 3000
reclaim_ms = 2700
status_s = 120
checkpoint_s = 2
)";

/// A line of the settings file and its invalid replacement.
struct NodeCase {
  const char* name;
  const char* line;
  const char* replacement;
  /// Key named in the error, and a part of the message.
  const char* field;
  const char* place;
};

class NodeFile : public testing::TestWithParam<NodeCase> {};

TEST_P(NodeFile, ErrorNamesKeyAndLine) {
  std::string text = kNodeText;
  const std::string line = GetParam().line;
  text.replace(text.find(line), line.size(), GetParam().replacement);
  core::Reason reason;
  EXPECT_FALSE(ReadNodeText(text, reason));
  EXPECT_EQ(reason.field, GetParam().field);
  EXPECT_NE(reason.message.find(GetParam().place), std::string::npos)
      << reason.message;
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    NodeFile,
    testing::Values(
        NodeCase{"WrongType", "zone = \"z\"", "zone = 7", "zone", "line 2"},
        NodeCase{"Missing", "region = \"r\"", "", "region", "is missing"},
        NodeCase{"Negative", "grace_s = 6", "grace_s = -1", "bounds.grace_s",
                 "line 13"},
        NodeCase{"Infinite", "max_hold_ms = 6000", "max_hold_ms = inf",
                 "bounds.max_hold_ms", "line 14"},
        NodeCase{"TooLarge", "status_s = 120", "status_s = 1e300",
                 "bounds.status_s", "line 17"},
        NodeCase{"NoNumber", "reclaim_ms = 2700", "reclaim_ms = nan",
                 "bounds.reclaim_ms", "line 16"},
        NodeCase{"NoPort", "address = \"127.0.0.1:7003\"",
                 "address = \"127.0.0.1\"", "platform.address",
                 "platform.address in line 11"},
        NodeCase{"BadShare", "checkpoint_s = 2",
                 "checkpoint_s = 2\n[limits]\ncpu_share = -1",
                 "limits.cpu_share", "line 20"},
        NodeCase{"FasterElsewhere", "checkpoint_s = 2",
                 "checkpoint_s = 2\nremote_factor = 0.5",
                 "bounds.remote_factor", "line 19"},
        NodeCase{"NegativeEvacuation", "checkpoint_s = 2",
                 "checkpoint_s = 2\nevacuate_ms = -1", "bounds.evacuate_ms",
                 "line 19"},
        NodeCase{"EvacuationOfWrongType", "checkpoint_s = 2",
                 "checkpoint_s = 2\nevacuate_ms = \"5000\"",
                 "bounds.evacuate_ms", "line 19"},
        NodeCase{"NegativeHeartbeat", "ip = \"127.0.0.1\"",
                 "ip = \"127.0.0.1\"\nheartbeat_ms = -1", "heartbeat_ms",
                 "line 5"},
        NodeCase{"NotToml", "[bounds]", "[bounds", "", "line 12"}),
    [](const auto& info) { return info.param.name; });

struct HeartbeatCase {
  const char* name;
  const char* line;
  core::Millis heartbeat_ms;
};

class NodeHeartbeat : public testing::TestWithParam<HeartbeatCase> {};

// A default would let workers that are cut off count as having left wherever
// heartbeats are less frequent.
TEST_P(NodeHeartbeat, IsUnknownUnlessTheFileTellsIt) {
  core::Reason reason;
  const auto settings =
      ReadNodeText(std::string(GetParam().line) + kNodeText, reason);
  ASSERT_TRUE(settings) << reason.message;
  EXPECT_EQ(settings->dispatch.heartbeat_ms, GetParam().heartbeat_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    NodeHeartbeat,
    testing::Values(HeartbeatCase{"given", "heartbeat_ms = 1200\n", 1200},
                    HeartbeatCase{"missing", "", 0}),
    [](const auto& info) { return info.param.name; });

struct RemoteCase {
  const char* name;
  const char* line;
  double remote_factor;
};

class NodeRemoteFactor : public testing::TestWithParam<RemoteCase> {};

// Guards against a wait for a rack that is weighed by a factor of our own.
TEST_P(NodeRemoteFactor, IsTheFilesOwn) {
  core::Reason reason;
  const auto settings =
      ReadNodeText(std::string(kNodeText) + GetParam().line, reason);
  ASSERT_TRUE(settings) << reason.message;
  EXPECT_EQ(settings->dispatch.remote_factor, GetParam().remote_factor);
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    NodeRemoteFactor,
    testing::Values(RemoteCase{"given", "remote_factor = 1.5\n", 1.5},
                    RemoteCase{"missing", "", 3}),
    [](const auto& info) { return info.param.name; });

struct EvacuateCase {
  const char* name;
  const char* line;
  core::Millis evacuate_ms;
};

class NodeEvacuation : public testing::TestWithParam<EvacuateCase> {};

// A default would keep every task from starting where no operator's table can
// be read.
TEST_P(NodeEvacuation, HasNoBoundUnlessTheFileGivesIt) {
  core::Reason reason;
  const auto settings =
      ReadNodeText(std::string(kNodeText) + GetParam().line, reason);
  ASSERT_TRUE(settings) << reason.message;
  EXPECT_EQ(settings->evacuate_ms, GetParam().evacuate_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    NodeEvacuation,
    testing::Values(EvacuateCase{"given", "evacuate_ms = 5000\n", 5000},
                    EvacuateCase{"missing", "", 0}),
    [](const auto& info) { return info.param.name; });

struct CapacityCase {
  const char* name;
  const char* limits;
  double cpu_capacity;
};

class NodeFileLimits : public testing::TestWithParam<CapacityCase> {};

TEST_P(NodeFileLimits, GiveTheProcessorCapacity) {
  core::Reason reason;
  const auto settings =
      ReadNodeText(std::string(kNodeText) + GetParam().limits, reason);
  ASSERT_TRUE(settings) << reason.message;
  EXPECT_EQ(settings->cpu_capacity, GetParam().cpu_capacity);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    NodeFileLimits,
    testing::Values(CapacityCase{"None", "", 0},
                    CapacityCase{"Share", "[limits]\ncpu_share = 0.25\n", 0.25},
                    CapacityCase{"ShareOfCores",
                                 "[limits]\ncpu_share = 0.25\ncores = 2\n",
                                 0.5}),
    [](const auto& info) { return info.param.name; });

// A settings file with one damaged place is read, or refused with a reason.
RC_GTEST_PROP(NodeFileRandom, IsReadOrRefusedWithAReason, ()) {
  std::string text = kNodeText;
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto size = *rc::gen::inRange<std::size_t>(0, 8);
  text.replace(at, size, *rc::gen::arbitrary<std::string>());
  core::Reason reason;
  const auto settings = ReadNodeText(text, reason);
  RC_ASSERT(settings.has_value() || !reason.message.empty());
  if (settings) {
    RC_ASSERT(settings->grace_ms >= 0);
    RC_ASSERT(settings->dispatch.max_lease_ms > 0);
  }
}

// A document with one damaged place must not crash the decoders: most damaged
// places leave it readable, unlike arbitrary bytes.
RC_GTEST_PROP(Decoders, DoNotCrashOnDamagedDocuments, ()) {
  const auto text = *rc::gen::elementOf(std::vector<std::string>{
      R"({"task_spec":"t","repeats":2,"start_at_ms":5,"period_ms":7,"phases":[{"count":2,"cpu":500,"after":[],"gang":true}]})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":2,"gpu":3},"labels":["a","r1"],"born":5,"remaining_ms":7})",
      R"({"version":7,"routes":[{"name":"q","host":"h","path_prefix":"/p/","service":"s","priority":1}],"tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":72}}],"limits":{"max_body_bytes":5}})",
      R"({"items":[{"key":"a","value":"MQ==","offset":1}],"truncated":false,"end_offset":2})",
      R"({"clock_ms":5,"born":3,"running":[["a.0.1.2",1,"c",41]],"ended_runs":[[1,"a.0.1.3",1,"done",""]]})"});
  const auto piece = *rc::gen::oneOf(
      rc::gen::elementOf(std::vector<std::string>{
          "", "-1", "1e300", "0.5", "9223372036854775808", "null", "[]", "{}",
          "\"\xff\"", "18446744073709551616", "true", "[[[[", "\\u0000"}),
      rc::gen::arbitrary<std::string>());
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto size = *rc::gen::inRange<std::size_t>(0, 6);
  auto damaged = text;
  damaged.replace(at, size, piece);
  core::Reason reason;
  std::ignore = DecodeJobRequest(damaged, reason);
  std::ignore = DecodeWorkerListing("w", damaged, reason);
  std::ignore = DecodeConfiguration(damaged, reason);
  std::ignore = DecodeNewest(damaged);
  std::ignore = DecodePollReport(core::ParseJson(damaged));
}

// Arbitrary bytes from outside must not crash the decoders.
RC_GTEST_PROP(Decoders,
              DoNotCrashOnArbitraryBytes,
              (const std::string& bytes)) {
  core::Reason reason;
  std::ignore = DecodeJobRequest(bytes, reason);
  std::ignore = DecodeWorkerListing("w", bytes, reason);
  std::ignore = DecodeConfiguration(bytes, reason);
  std::ignore = DecodeRecords(bytes);
  std::ignore = DecodeNewest(bytes);
  std::ignore = DecodePollReport(core::Json::parse(bytes, nullptr, false));
  std::ignore = ParseTaskName(bytes);
}

}  // namespace
}  // namespace kcm::adapter
