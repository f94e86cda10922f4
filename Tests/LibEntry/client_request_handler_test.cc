#include "LibEntry/client_request_handler.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "LibEntry/http_heartbeat_port.h"
#include "term_holder_fixture.h"

namespace kcm::entry {
namespace {

using core::ErrorKind;

/// What the process knows of the configuration when a call arrives.
enum class Knowledge : std::uint8_t {
  kNewest,
  /// It was paused, and finds a newer version when it reads the store.
  kNewerInStore,
  /// It was paused, and the store does not answer.
  kUnconfirmed,
};

struct CallCase {
  const char* name;
  ClientVerb verb;
  std::string path;
  std::string token;
  Knowledge knowledge;
  ErrorKind error;
};

/// The holder of the term, which takes calls itself.
class ClientRequestHandlerTest : public TermHolderTest,
                                 public testing::WithParamInterface<CallCase> {
 protected:
  /// @param version the second one adds a key and a queue.
  static auto MakeRoutes(int version) -> RouteTable {
    RouteTable routes;
    routes.version = version;
    routes.routes = {{"jobs", "h", "/jobs/", false, {}},
                     {"open", "h", "/jobs/open/", true, {}}};
    // A call without a key must not act as the account with the empty one.
    routes.accounts = {{"old-key", "parks"}, {"", "roads"}};
    if (version > 1) {
      routes.routes.push_back({"added", "h", "/jobs/added/", false, {}});
      routes.accounts["new-key"] = "parks";
    }
    return routes;
  }

  auto Call(const CallCase& made) -> ClientAnswer {
    ClientCall call;
    call.verb = made.verb;
    call.host = "h";
    call.path = made.path;
    call.token = made.token;
    std::optional<ClientAnswer> answer;
    handler_.HandleCall(call,
                        [&](const ClientAnswer& given) { answer = given; });
    RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  /// Lets the store answer a read of the configuration.
  auto ReadRoutes() -> void {
    if (GetParam().knowledge == Knowledge::kNewerInStore) {
      loop_.After(20, [this] {
        routes_ = MakeRoutes(2);
        age_.current_as_of = core::SuspendAwareNow();
        confirmation_.OnRead();
      });
    }
  }

  RouteTable routes_ = MakeRoutes(1);
  RoutesAge age_{core::SuspendAwareNow() -
                     (GetParam().knowledge == Knowledge::kNewest ? 0 : 4000),
                 false};
  RoutesConfirmation confirmation_{loop_, [this] { return age_; },
                                   [this] { ReadRoutes(); }};
  net::HttpClient http_{loop_};
  HttpHeartbeatPort heartbeats_{http_};
  PeerMonitor peers_{heartbeats_, settings_,
                     [] { return PeerMonitor::LocalState{}; }};
  HolderClient client_{loop_, http_, peers_, [this] { return holder_; },
                       [] { return true; }};
  ClientRequestHandler handler_{
      routes_,
      confirmation_,
      client_,
      *metrics_,
      [](const std::string&, core::Reason&) {
        dispatch::JobSpec spec;
        spec.steps = {dispatch::StepSpec{}};
        return std::optional(spec);
      },
      [](const std::string& text) { return text == "a"; },
      [](const std::string&) { return std::optional<std::int64_t>(7); }};
};

// Guards against an accepted job whose caller counted as unknown, which was
// hidden from it afterwards: on a public queue a key that the process did not
// know yet counted as none. Guards also against a final refusal by routes from
// before a pause.
TEST_P(ClientRequestHandlerTest, RefusesForGoodByTheNewestRoutesOnly) {
  const auto answer = Call(GetParam());
  EXPECT_EQ(answer.reason.kind, GetParam().error) << answer.reason.message;
  const auto may_come_again = answer.reason.kind == ErrorKind::kNoEndpoint;
  EXPECT_EQ(answer.retry_after_ms > 0, may_come_again);
  if (GetParam().verb != ClientVerb::kSubmit ||
      answer.reason.kind != ErrorKind::kNone || GetParam().token.empty()) {
    return;
  }
  // The job is its caller's, also where no key is needed.
  auto read = GetParam();
  read.verb = ClientVerb::kRead;
  EXPECT_EQ(Call(read).reason.kind, ErrorKind::kNone);
}

constexpr auto kSubmit = ClientVerb::kSubmit;
constexpr auto kRead = ClientVerb::kRead;
constexpr auto kCancel = ClientVerb::kCancel;

INSTANTIATE_TEST_SUITE_P(
    Calls,
    ClientRequestHandlerTest,
    testing::Values(
        CallCase{"OpenWithoutKey", kSubmit, "/jobs/open/a", "",
                 Knowledge::kNewest, ErrorKind::kNone},
        CallCase{"OpenWithKey", kSubmit, "/jobs/open/a", "old-key",
                 Knowledge::kNewest, ErrorKind::kNone},
        CallCase{"OpenWithUnknownKey", kSubmit, "/jobs/open/a", "new-key",
                 Knowledge::kNewest, ErrorKind::kBadToken},
        CallCase{"ReadOpenWithUnknownKey", kRead, "/jobs/open/a", "new-key",
                 Knowledge::kNewest, ErrorKind::kBadToken},
        CallCase{"CancelOpenWithUnknownKey", kCancel, "/jobs/open/a", "new-key",
                 Knowledge::kNewest, ErrorKind::kBadToken},
        CallCase{"CountOpenWithUnknownKey", kRead, "/jobs/open/", "new-key",
                 Knowledge::kNewest, ErrorKind::kBadToken},
        CallCase{"CountOpen", kRead, "/jobs/open/", "", Knowledge::kNewest,
                 ErrorKind::kNone},
        CallCase{"OpenWithNewKey", kSubmit, "/jobs/open/a", "new-key",
                 Knowledge::kNewerInStore, ErrorKind::kNone},
        CallCase{"OpenWithKeyOfAnUnknownVersion", kSubmit, "/jobs/open/a",
                 "new-key", Knowledge::kUnconfirmed, ErrorKind::kNoEndpoint},
        CallCase{"PrivateWithoutKey", kSubmit, "/jobs/a", "",
                 Knowledge::kNewest, ErrorKind::kBadToken},
        CallCase{"PrivateWithNewKey", kSubmit, "/jobs/a", "new-key",
                 Knowledge::kNewerInStore, ErrorKind::kNone},
        CallCase{"PrivateWithKeyOfAnUnknownVersion", kRead, "/jobs/a",
                 "new-key", Knowledge::kUnconfirmed, ErrorKind::kNoEndpoint},
        CallCase{"PrivateWithKeyOfNoVersion", kSubmit, "/jobs/a", "no-key",
                 Knowledge::kNewerInStore, ErrorKind::kBadToken},
        CallCase{"KnownKeyWithoutConfirmation", kSubmit, "/jobs/a", "old-key",
                 Knowledge::kUnconfirmed, ErrorKind::kNone},
        CallCase{"NoRoute", kRead, "/none/a", "old-key", Knowledge::kNewest,
                 ErrorKind::kNotFound},
        CallCase{"NoRouteOfAnUnknownVersion", kRead, "/none/a", "old-key",
                 Knowledge::kUnconfirmed, ErrorKind::kNoEndpoint},
        CallCase{"AddedRoute", kSubmit, "/jobs/added/a", "old-key",
                 Knowledge::kNewerInStore, ErrorKind::kNone},
        CallCase{"ReadOnAddedRoute", kRead, "/jobs/added/a", "old-key",
                 Knowledge::kNewerInStore, ErrorKind::kGone},
        CallCase{"ReadOnRouteOfAnUnknownVersion", kRead, "/jobs/added/a",
                 "old-key", Knowledge::kUnconfirmed, ErrorKind::kNoEndpoint},
        CallCase{"NoJobId", kSubmit, "/jobs/b", "old-key", Knowledge::kNewest,
                 ErrorKind::kBadInput}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::entry
