#include "../Common/run_standin.h"
#include "worker.h"

auto main(int argc, char** argv) -> int {
  namespace net = kcm::net;
  namespace standin = kcm::standin;
  cxxopts::Options options("standin-worker", "A worker for tests.");
  options.add_options()(
      "listen", "IP:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7100"))(
      "id", "name", cxxopts::value<std::string>()->default_value("worker-1"))(
      "accelerators", "number",
      cxxopts::value<std::int64_t>()->default_value("8"))(
      "journal", "file to which task events are appended",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = standin::ParseOptions(options, argc, argv);
  net::EventLoop loop;
  standin::Worker worker(loop, parsed["id"].as<std::string>(),
                         parsed["accelerators"].as<std::int64_t>(),
                         parsed["journal"].as<std::string>());
  return standin::ServeUntilStopped(
      loop, parsed["listen"].as<std::string>(),
      [&](const net::HttpRequest& request, const net::HttpReply& reply) {
        worker.HandleRequest(request, reply);
      });
}
