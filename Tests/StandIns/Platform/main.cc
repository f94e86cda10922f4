#include <fstream>

#include "../Common/run_standin.h"
#include "LibNet/http_status.h"
#include "log_service.h"
#include "vm_service.h"

namespace kcm::standin {

namespace {

auto RouteRequest(LogService& log,
                  VmService& vms,
                  const net::HttpRequest& request,
                  const net::HttpReply& reply) -> void {
  const auto& path = request.path;
  if (path.starts_with("/v1/streams/")) {
    log.HandleRequest(request, reply);
  } else if (path == "/v1/vms") {
    vms.HandleRequest(request, reply);
  } else if (path == "/control/log") {
    log.SetFaults(ParseBody(request));
    reply.SendJson(net::kHttpOk, log.Counters());
  } else if (path == "/control/vms") {
    const auto body = ParseBody(request);
    if (body.contains("lag_ms")) {
      vms.SetLag(body.at("lag_ms").get<core::Millis>());
    }
    if (body.contains("vms")) {
      vms.SetVms(body.at("vms"));
    }
    if (body.contains("id")) {
      vms.UpdateVm(body.at("id").get<std::string>(), body.at("change"));
    }
    reply.SendJson(net::kHttpOk, core::Json::object());
  } else {
    reply.SendJson(net::kHttpNotFound, core::Json::object());
  }
}

}  // namespace

}  // namespace kcm::standin

auto main(int argc, char** argv) -> int {
  namespace net = kcm::net;
  namespace standin = kcm::standin;
  cxxopts::Options options("standin-platform",
                           "Log service and VM list for tests.");
  options.add_options()(
      "listen", "IP:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
      "vms", "JSON file with the list of VMs",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = standin::ParseOptions(options, argc, argv);
  net::EventLoop loop;
  standin::LogService log(loop);
  standin::VmService vms;
  if (const auto path = parsed["vms"].as<std::string>(); !path.empty()) {
    std::ifstream file(path);
    vms.SetVms(kcm::core::Json::parse(file).at("vms"));
  }
  return standin::ServeUntilStopped(
      loop, parsed["listen"].as<std::string>(),
      [&](const net::HttpRequest& request, const net::HttpReply& reply) {
        standin::RouteRequest(log, vms, request, reply);
      });
}
