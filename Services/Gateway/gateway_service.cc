#include "gateway_service.h"

#include <array>
#include <optional>
#include <span>
#include <utility>

#include "LibCore/json_decode.h"
#include "LibCore/nearest.h"
#include "LibNet/http_status.h"
#include "LibNode/hop_span.h"
#include "LibNode/relay_choice.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kDrainPoll = 20;
constexpr core::Millis kMinDrain = 500;

/// Who may make a call; kCaller is any client account or operator.
enum class Access : std::uint8_t { kAnyone, kCaller, kOperator };

/// Matches a path against a pattern in which "*" matches one segment.
/// @return the segments that "*" matched, or nothing without a match.
auto MatchPath(std::string_view pattern, std::string_view path)
    -> std::optional<std::vector<std::string>> {
  std::vector<std::string> parameters;
  while (!pattern.empty() || !path.empty()) {
    const auto pattern_end = pattern.find('/', 1);
    const auto path_end = path.find('/', 1);
    const auto expected = pattern.substr(0, pattern_end);
    const auto segment = path.substr(0, path_end);
    if (expected == "/*" && segment.size() > 1) {
      parameters.emplace_back(segment.substr(1));
    } else if (expected != segment) {
      return std::nullopt;
    }
    pattern = pattern_end == std::string_view::npos
                  ? ""
                  : pattern.substr(pattern_end);
    path = path_end == std::string_view::npos ? "" : path.substr(path_end);
  }
  return parameters;
}

}  // namespace

/// Method, path pattern, access and handler of one API call.
struct GatewayService::Route {
  std::string_view method;
  std::string_view pattern;
  Access access;
  auto(GatewayService::*handler)(const ApiCall&) -> void;
};

auto GatewayService::Routes() -> std::span<const Route> {
  static constexpr std::array kRoutes = {
      Route{"GET", "/v1/health", Access::kAnyone, &GatewayService::ShowHealth},
      Route{"GET", "/v1/status", Access::kOperator,
            &GatewayService::ShowStatus},
      Route{"POST", "/v1/requests", Access::kCaller,
            &GatewayService::SubmitRequest},
      Route{"POST", "/v1/jobs", Access::kCaller, &GatewayService::SubmitJob},
      Route{"GET", "/v1/jobs", Access::kCaller, &GatewayService::ListJobs},
      Route{"GET", "/v1/jobs/*", Access::kCaller, &GatewayService::ShowJob},
      Route{"POST", "/v1/jobs/*/cancel", Access::kCaller,
            &GatewayService::CancelJob},
      Route{"GET", "/v1/table", Access::kOperator, &GatewayService::ShowTable},
      Route{"GET", "/v1/table-history", Access::kOperator,
            &GatewayService::ShowHistory},
      Route{"GET", "/v1/table/*", Access::kOperator, &GatewayService::ShowRow},
      Route{"PUT", "/v1/table/*", Access::kOperator, &GatewayService::EditRow},
      Route{"GET", "/v1/fleet", Access::kOperator, &GatewayService::ShowFleet},
      Route{"PUT", "/v1/fleet", Access::kOperator,
            &GatewayService::RecordFleet},
      Route{"GET", "/v1/processes", Access::kOperator,
            &GatewayService::ShowProcesses},
      Route{"GET", "/v1/fleet/workers", Access::kOperator,
            &GatewayService::ListWorkers},
      Route{"POST", "/v1/fleet/workers/*/cordon", Access::kOperator,
            &GatewayService::Cordon},
      Route{"POST", "/v1/fleet/workers/*/uncordon", Access::kOperator,
            &GatewayService::Uncordon},
      Route{"GET", "/v1/minions", Access::kOperator,
            &GatewayService::ListMinions},
  };
  return kRoutes;
}

auto GatewayService::SuggestCall(const net::HttpRequest& request)
    -> std::string {
  std::vector<std::string> known;
  for (const auto& route : Routes()) {
    known.push_back(std::string(route.method) + " " +
                    std::string(route.pattern));
  }
  return core::DidYouMean(request.method + " " + request.path, known);
}

auto GatewayService::create(node::Node& node, core::Reason& reason)
    -> std::unique_ptr<node::Service> {
  auto service = std::make_unique<GatewayService>(node);
  const auto& settings = node.settings();
  const net::HttpLimits limits = {
      .max_header_bytes = static_cast<std::size_t>(settings.max_header_bytes),
      .max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes),
      .header_timeout_ms = settings.header_timeout_ms,
      .idle_timeout_ms = settings.idle_timeout_ms};
  service->server_ = net::HttpServer::create(
      node.loop(), settings.gateway_http,
      [raw = service.get()](net::HttpRequest request, net::HttpReply reply) {
        raw->OnRequest(std::move(request), std::move(reply));
      },
      reason, limits, node.connections());
  return service->server_ == nullptr ? nullptr : std::move(service);
}

GatewayService::GatewayService(node::Node& node)
    : node_(node),
      heartbeats_(node.loop(),
                  node.bus(),
                  node.PeersOf(node::Role::kGateway, "")),
      follower_(node.loop(),
                node.bus(),
                node.log(),
                node::MakeRelaySelector(node)),
      table_(node),
      fleet_(node),
      status_(node),
      jobs_(node),
      requests_(node) {}

auto GatewayService::TraceCall(ApiCall& call) -> void {
  const auto span = std::make_shared<node::HopSpan>(
      node_.tracer(), call.request.header("traceparent"),
      "gateway " + call.request.method);
  span->SetAttribute("http.path", call.request.path);
  // Spans of later hops become children of this one.
  call.request.headers["traceparent"] = span->traceparent();
  call.reply.SetResponseListener([span](const net::HttpResponse& answer) {
    span->SetAttribute("http.status", std::to_string(answer.status));
    span->End();
  });
}

auto GatewayService::OnRequest(net::HttpRequest request, net::HttpReply reply)
    -> void {
  ApiCall call{std::move(request), std::move(reply), {}, {}};
  if (!core::IsUtf8(call.request.path)) {
    // Names in the path become parts of records and answers.
    ReplyWithError(call, core::ErrorKind::kBadInput, "path",
                   "The path is not UTF-8.");
    return;
  }
  TraceCall(call);
  const Route* found = nullptr;
  for (const auto& route : Routes()) {
    if (route.method != call.request.method) {
      continue;
    }
    if (auto parameters = MatchPath(route.pattern, call.request.path)) {
      found = &route;
      call.parameters = std::move(*parameters);
      break;
    }
  }
  if (found == nullptr) {
    ReplyWithError(call, core::ErrorKind::kNotFound, "path",
                   "There is no call " + call.request.method + " " +
                       core::QuoteText(call.request.path) + "." +
                       SuggestCall(call.request));
    return;
  }
  if (found->access != Access::kAnyone) {
    core::Reason reason;
    const auto caller =
        Authenticate(call.request, node_.log().cluster_state().table(),
                     node_.settings().operator_token_sha256, reason);
    if (!caller) {
      call.reply.SendError(reason);
      return;
    }
    call.caller = *caller;
    if (found->access == Access::kOperator && !caller->is_operator) {
      ReplyWithError(call, core::ErrorKind::kForbidden, "authorization",
                     "The call is for operators only.");
      return;
    }
  }
  (this->*found->handler)(call);
}

auto GatewayService::ShowHealth(const ApiCall& call) -> void {
  const bool ready = !draining_ && follower_.caught_up();
  call.reply.SendJson(net::kHttpOk, {{"node", node_.self()}, {"ready", ready}});
}

auto GatewayService::ShowStatus(const ApiCall& call) -> void {
  core::Json streams = core::Json::object();
  for (const auto& stream : node_.log().cluster_state().streams()) {
    streams[stream] = node_.log().NextOffset(stream);
  }
  core::Json terms = core::Json::object();
  for (const auto& data_centre : node_.DataCentresOf("")) {
    terms[data_centre] =
        node_.log().cluster_state().FindCell(data_centre)->term();
  }
  call.reply.SendJson(
      net::kHttpOk,
      {{"node", node_.self()},
       {"relay", follower_.relay()},
       {"confirmed_ms_ago", follower_.ConfirmedAge()},
       {"table_version", node_.log().cluster_state().table().version()},
       {"next_offsets", streams},
       {"terms", terms},
       {"peers_alive", heartbeats_.AlivePeers()},
       {"open_requests", requests_.open_count()}});
}

auto GatewayService::Drain(std::function<void()> done) -> void {
  draining_ = true;
  heartbeats_.AnnounceLeaving();
  server_->StopListening();
  const auto earliest = core::MonotonicNow() + kMinDrain;
  node_.loop().Every(kDrainPoll, [this, earliest, done = std::move(done)] {
    // Requests already sent on kept-alive connections are still read.
    if (core::MonotonicNow() >= earliest && server_->pending() == 0 &&
        requests_.unfinished() == 0) {
      done();
    }
  });
}

}  // namespace kcm::gateway
