#include <map>
#include <memory>

#include "../Common/run_standin.h"
#include "LibNet/http_status.h"
#include "route.h"

namespace kcm::standin {

namespace {

using Routes = std::map<std::string, std::unique_ptr<Route>>;

/// Adds the route "NAME=LISTEN>TARGET".
auto AddRoute(net::EventLoop& loop, Routes& routes, const std::string& text)
    -> bool {
  const auto equals = text.find('=');
  const auto arrow = text.find('>');
  if (equals == std::string::npos || arrow == std::string::npos) {
    return false;
  }
  core::Reason reason;
  const auto listen = core::ParseAddress(
      text.substr(equals + 1, arrow - equals - 1), "route", reason);
  const auto target =
      core::ParseAddress(text.substr(arrow + 1), "route", reason);
  if (!listen || !target) {
    return false;
  }
  routes[text.substr(0, equals)] =
      std::make_unique<Route>(loop, *listen, *target);
  return true;
}

/// Handles /routes/PREFIX: POST changes the faults of all routes whose name
/// begins with the prefix. Responds with their faults and traffic.
auto HandleControl(Routes& routes,
                   const net::HttpRequest& request,
                   const net::HttpReply& reply) -> void {
  constexpr std::string_view kPrefix = "/routes/";
  const auto prefix =
      request.path.substr(std::min(request.path.size(), kPrefix.size()));
  const auto body = ParseBody(request);
  core::Json response = core::Json::object();
  for (const auto& [name, route] : routes) {
    if (!name.starts_with(prefix)) {
      continue;
    }
    if (request.method == "POST") {
      core::Json merged = route->faults();
      merged.update(body);
      route->SetFaults(merged.get<Faults>());
    }
    response[name] = {{"faults", route->faults()},
                      {"traffic", route->traffic()}};
  }
  reply.SendJson(net::kHttpOk, response);
}

}  // namespace

}  // namespace kcm::standin

auto main(int argc, char** argv) -> int {
  namespace net = kcm::net;
  namespace standin = kcm::standin;
  cxxopts::Options options("standin-fault-proxy",
                           "TCP proxy that injects faults.");
  options.add_options()(
      "control", "IP:PORT of the control interface",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7900"))(
      "route", "NAME=IP:PORT>IP:PORT, may be repeated",
      cxxopts::value<std::vector<std::string>>());
  const auto parsed = standin::ParseOptions(options, argc, argv);
  net::EventLoop loop;
  std::map<std::string, std::unique_ptr<standin::Route>> routes;
  if (parsed.count("route") != 0) {
    for (const auto& text : parsed["route"].as<std::vector<std::string>>()) {
      if (!standin::AddRoute(loop, routes, text)) {
        std::cerr << "\"" << text << "\" is not NAME=IP:PORT>IP:PORT.\n";
        return 2;
      }
    }
  }
  return standin::ServeUntilStopped(
      loop, parsed["control"].as<std::string>(),
      [&](const net::HttpRequest& request, const net::HttpReply& reply) {
        standin::HandleControl(routes, request, reply);
      });
}
