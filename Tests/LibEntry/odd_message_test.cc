#include <gtest/gtest.h>
#include <unistd.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/client_request_handler.h"
#include "LibEntry/entry_service.h"
#include "fake_store.h"
#include "unresponsive_workers.h"

namespace kcm::entry {
namespace {

using core::Json;

constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
constexpr auto kHugeUnsigned = std::numeric_limits<std::uint64_t>::max();

auto DeeplyNested() -> std::string {
  constexpr std::size_t kDepth = 100000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

auto AddressOf(int index) -> core::Address {
  const auto process = static_cast<int>(getpid());
  return {"127." + std::to_string(1 + process / 250 % 250) + "." +
              std::to_string(1 + process % 250) + "." +
              std::to_string(101 + index),
          7000};
}

struct TermCase {
  std::string name;
  Json row;
};

class OddTermRowTest : public testing::TestWithParam<TermCase> {};

// A term that is read with a wrapped number names a holder or an epoch that
// never was, or makes the next claim overflow.
TEST_P(OddTermRowTest, IsNoTerm) {
  const TermRow good{7, "n", {"10.0.0.1", 80}, 3, 0.5, {}};
  const auto bytes = Json::to_msgpack(GetParam().row);
  const auto term =
      FindTerm({EncodeTerm(good), {kTermKey, {bytes.begin(), bytes.end()}}});
  ASSERT_TRUE(term);
  EXPECT_EQ(term->epoch, 7);
  EXPECT_EQ(term->address.port, 80);
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    OddTermRowTest,
    testing::Values(
        TermCase{"number", 7},
        TermCase{"short", {8, "n"}},
        TermCase{"epoch_negative", {-8, "n", "10.0.0.2", 80U}},
        TermCase{"epoch_huge", {kHuge, "n", "10.0.0.2", 80U}},
        TermCase{"epoch_2_64", {kHugeUnsigned, "n", "10.0.0.2", 80U}},
        TermCase{"epoch_fraction", {8.5, "n", "10.0.0.2", 80U}},
        TermCase{"port_0", {8, "n", "10.0.0.2", 0U}},
        TermCase{"port_65536", {8, "n", "10.0.0.2", 65536U}},
        TermCase{"port_99999", {8, "n", "10.0.0.2", 99999U}},
        TermCase{"host_name", {8, "n", "foo", 80U}},
        TermCase{"since_huge", {8, "n", "10.0.0.2", 80U, kHuge}},
        TermCase{"since_negative", {8, "n", "10.0.0.2", 80U, -1}},
        TermCase{"capacity_not_a_number", {8, "n", "10.0.0.2", 80U, 3, NAN}},
        TermCase{"capacity_negative", {8, "n", "10.0.0.2", 80U, 3, -1}}),
    [](const auto& info) { return info.param.name; });

// Nesting in a row of our own table must not overflow the stack of each process
// that reads the term.
TEST(OddTermRow, DeepNestingIsNoTerm) {
  constexpr std::size_t kDepth = 100000;
  constexpr char kListOfOne = '\x91';
  EXPECT_FALSE(FindTerm({{kTermKey, std::string(kDepth, kListOfOne) + '\0'}}));
}

struct HeartbeatCase {
  std::string name;
  std::string member;
  std::string value;
};

class OddHeartbeatTest : public testing::TestWithParam<HeartbeatCase> {};

// Numbers of a heartbeat are subtracted from the clock and passed on to others.
TEST_P(OddHeartbeatTest, IsRefusedWithAReason) {
  core::Reason reason;
  EXPECT_FALSE(DecodeHeartbeat(
      "{\"name\":\"n\",\"" + GetParam().member + "\":" + GetParam().value + "}",
      reason));
  EXPECT_EQ(reason.kind, core::ErrorKind::kBadInput);
  EXPECT_FALSE(reason.message.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Heartbeats,
    OddHeartbeatTest,
    testing::Values(
        HeartbeatCase{"deep", "pending",
                      std::string(30000, '[') + std::string(30000, ']')},
        HeartbeatCase{"not_utf8", "holder", "\"\xff\""},
        HeartbeatCase{"epoch_huge", "epoch", "9223372036854775807"},
        HeartbeatCase{"epoch_2_63", "epoch", "9223372036854775808"},
        HeartbeatCase{"epoch_negative", "epoch", "-1"},
        HeartbeatCase{"epoch_1e300", "epoch", "1e300"},
        HeartbeatCase{"heard_1e300", "heard_ms", "1e300"},
        HeartbeatCase{"heard_negative", "heard_ms", "-1"},
        HeartbeatCase{"heard_2_63", "heard_ms", "9223372036854775808"},
        HeartbeatCase{"storeless_1e300", "storeless_ms", "1e300"},
        HeartbeatCase{"storeless_negative", "storeless_ms", "-1"},
        HeartbeatCase{"version_1e300", "routes_version", "1e300"},
        HeartbeatCase{"capacity_negative", "cpu_capacity", "-1"},
        HeartbeatCase{"pending_1e300", "pending", R"({"q":1e300})"},
        HeartbeatCase{"note_heard_1e300", "notes",
                      R"([{"address":"10.0.0.1:80","heard_ms":1e300}])"},
        HeartbeatCase{
            "note_heard_2_63", "notes",
            R"([{"address":"10.0.0.1:80","heard_ms":9223372036854775808}])"}),
    [](const auto& info) { return info.param.name; });

struct BodyCase {
  std::string name;
  std::string path;
  std::string body;
};

/// One entry process on a loop with a client for its peer address.
class OddBodyTest : public testing::TestWithParam<BodyCase> {
 protected:
  OddBodyTest() {
    core::Reason reason;
    metrics_ = node::Metrics::create(loop_, {"127.0.0.1", 0}, reason);
  }

  auto Start(int index) -> EntryService* {
    EntrySettings settings;
    settings.name = "p" + std::to_string(index);
    settings.peer = AddressOf(index);
    settings.seeds = {AddressOf(0)};
    core::Reason reason;
    service_ = EntryService::create(
        {loop_, http_, store_, workers_, decoders_, *metrics_, traffic_},
        settings, reason);
    EXPECT_NE(service_, nullptr) << reason.message;
    return service_.get();
  }

  auto SendToPeer(const std::string& method,
                  const std::string& path,
                  const std::string& body) -> net::HttpResult {
    std::optional<net::HttpResult> result;
    http_.Send(AddressOf(1), {method, path, {}, {}, body}, 2000,
               [&](const net::HttpResult& given) {
                 result = given;
                 loop_.Stop();
               });
    loop_.Run();
    return result.value_or(net::HttpResult{});
  }

  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  net::EventLoop loop_;
  net::HttpClient http_{loop_};
  net::TrafficMeter traffic_;
  FakeStore store_{loop_};
  UnresponsiveWorkers workers_;
  PlatformDecoders decoders_;
  std::unique_ptr<node::Metrics> metrics_;
  std::unique_ptr<EntryService> service_;
};

// One message that cannot be read ended the process that received it.
TEST_P(OddBodyTest, IsRefusedAndTheProcessGoesOn) {
  core::SetUpLogging("entry-1", true);
  Start(1);
  const auto result = SendToPeer("POST", GetParam().path, GetParam().body);
  EXPECT_EQ(result.exchange, net::Exchange::kAnswered);
  EXPECT_EQ(result.response.status, 400);
  EXPECT_EQ(SendToPeer("GET", kRoutesPath, "").response.status, 200);
}

auto RelayedJob(const std::string& steps, const std::string& more = "")
    -> std::string {
  return R"({"verb":"submit","job":"a","queue":"","account":"","spec":{"id":"a",)" +
         more + R"("steps":)" + steps + "}}";
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    OddBodyTest,
    testing::Values(
        BodyCase{"heartbeat_not_utf8", kHeartbeatPath, "{\"name\":\"\xff\"}"},
        BodyCase{"heartbeat_deep", kHeartbeatPath, DeeplyNested()},
        BodyCase{"job_empty", kJobPath, ""},
        BodyCase{"job_not_utf8", kJobPath, "{\"job\":\"\xff\"}"},
        BodyCase{"job_deep", kJobPath, DeeplyNested()},
        BodyCase{"job_list", kJobPath, "[]"},
        BodyCase{"job_without_id", kJobPath,
                 R"({"verb":"read","queue":"","account":""})"},
        BodyCase{"job_id_too_long", kJobPath,
                 R"({"verb":"read","queue":"","account":"","job":")" +
                     std::string(300, 'a') + "\"}"},
        BodyCase{"verb_unknown", kJobPath,
                 R"({"verb":"odd","job":"a","queue":"","account":""})"},
        BodyCase{"verb_number", kJobPath,
                 R"({"verb":7,"job":"a","queue":"","account":""})"},
        BodyCase{"submission_without_spec", kJobPath,
                 R"({"verb":"submit","job":"a","queue":"","account":""})"},
        BodyCase{
            "submission_of_another_job", kJobPath,
            R"({"verb":"submit","job":"b","queue":"","account":"","spec":{"id":"a","steps":[{}]}})"},
        BodyCase{"read_without_queue", kJobPath,
                 R"({"verb":"read","job":"a","account":""})"},
        BodyCase{"read_without_account", kJobPath,
                 R"({"verb":"read","job":"a","queue":""})"},
        BodyCase{
            "public_text", kJobPath,
            R"({"verb":"read","job":"a","queue":"","account":"","public":"yes"})"},
        BodyCase{
            "submission_for_another_queue", kJobPath,
            R"({"verb":"submit","job":"a","queue":"q","account":"","spec":)"
            R"({"id":"a","steps":[{"tasks":1}]}})"},
        BodyCase{
            "submission_for_another_account", kJobPath,
            R"({"verb":"submit","job":"a","queue":"","account":"kim","spec":)"
            R"({"id":"a","steps":[{"tasks":1}]}})"},
        BodyCase{"no_steps", kJobPath, RelayedJob("[]")},
        BodyCase{"tasks_1e18", kJobPath,
                 RelayedJob(R"([{"tasks":1000000000000000000}])")},
        BodyCase{"tasks_negative", kJobPath, RelayedJob(R"([{"tasks":-1}])")},
        BodyCase{"tasks_1e300", kJobPath, RelayedJob(R"([{"tasks":1e300}])")},
        BodyCase{"after_a_later_step", kJobPath,
                 RelayedJob(R"([{"tasks":1,"after":[5]}])")},
        BodyCase{"repeats_huge", kJobPath,
                 RelayedJob(R"([{"tasks":1}])",
                            R"("repeats":9223372036854775807,)")}),
    [](const auto& info) { return info.param.name; });

class OddClientPathTest : public OddBodyTest {};

// The log shows the path of a refused call; a path with a byte that is not
// UTF-8 ended the process, so any client could end all of them.
TEST_P(OddClientPathTest, IsRefused) {
  core::SetUpLogging("entry-1", true);
  auto* service = Start(1);
  RouteTable routes;
  routes.version = 1;
  routes.routes = {{"q", "h", "/q/", true, {}}};
  // Until the configuration is read, no refusal that rests on it is final.
  RunFor(100);
  ClientRequestHandler handler(
      routes, service->routes_confirmation(), service->holder_client(),
      *metrics_,
      [](const std::string&, core::Reason&) {
        return std::optional<dispatch::JobSpec>();
      },
      [](const std::string&) { return false; },
      [](const std::string&) { return std::optional<std::int64_t>(); });
  ClientCall call;
  call.verb = ClientVerb::kSubmit;
  call.host = "h";
  call.path = GetParam().path;
  std::optional<ClientAnswer> answer;
  handler.HandleCall(call, [&](const ClientAnswer& given) { answer = given; });
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->reason.kind, core::ErrorKind::kBadInput);
}

INSTANTIATE_TEST_SUITE_P(
    Paths,
    OddClientPathTest,
    testing::Values(BodyCase{"not_utf8", "/q/\xff", ""},
                    BodyCase{"control", std::string("/q/\0\n", 5), ""},
                    BodyCase{"long", "/q/" + std::string(100000, '\xc3'), ""}),
    [](const auto& info) { return info.param.name; });

/// A process whose peer, the holder of the term, sends odd answers.
class OddHolderAnswerTest : public OddBodyTest {};

// The answer of a holder that cannot be read leaves the outcome unknown; it
// ended the process that had relayed the request.
TEST_P(OddHolderAnswerTest, LeavesTheOutcomeUnknown) {
  core::SetUpLogging("entry-1", true);
  store_.refuse = true;
  core::Reason reason;
  const auto holder = net::HttpServer::create(
      loop_, AddressOf(0),
      [](const net::HttpRequest& request, const net::HttpReply& reply) {
        if (request.path == kHeartbeatPath) {
          PeerHeartbeat heartbeat;
          heartbeat.name = "p0";
          heartbeat.address = AddressOf(0).ToString();
          heartbeat.epoch = 3;
          heartbeat.holder = "p0";
          heartbeat.holder_address = heartbeat.address;
          heartbeat.is_holder = true;
          heartbeat.hears_directly = true;
          reply.SendJson(200, heartbeat);
          return;
        }
        reply.Send({200, {}, GetParam().body});
      },
      reason);
  ASSERT_NE(holder, nullptr) << reason.message;
  auto* service = Start(1);
  RunFor(200);
  std::optional<HolderAnswer> answer;
  HolderRequest request;
  request.job = "a";
  service->holder_client().SendRequest(
      request, core::SuspendAwareNow() + 300, false,
      [&](const HolderAnswer& given) { answer = given; });
  RunFor(600);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->error, core::ErrorKind::kOutcomeUnknown);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    OddHolderAnswerTest,
    testing::Values(
        BodyCase{"empty", "", ""},
        BodyCase{"deep", "", "{\"phase\":" + DeeplyNested() + "}"},
        BodyCase{"not_utf8", "", "{\"phase\":\"\xff\"}"},
        BodyCase{"phase_number", "", R"({"error":"none","phase":7})"},
        BodyCase{"phase_unknown", "", R"({"error":"none","phase":"odd"})"},
        BodyCase{"no_phase", "", R"({"error":"none"})"},
        BodyCase{"error_number", "", R"({"error":7,"phase":"queued"})"},
        BodyCase{"not_holder_text", "",
                 R"({"error":"none","phase":"queued","not_holder":"no"})"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
