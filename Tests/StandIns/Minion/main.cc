#include "../Common/run_standin.h"
#include "minion.h"

auto main(int argc, char** argv) -> int {
  namespace net = kcm::net;
  namespace standin = kcm::standin;
  cxxopts::Options options("standin-minion", "A minion for tests.");
  options.add_options()(
      "listen", "IP:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7200"))(
      "id", "name", cxxopts::value<std::string>()->default_value("minion-1"))(
      "slots", "requests at once", cxxopts::value<int>()->default_value("8"))(
      "work-ms", "span of one request",
      cxxopts::value<std::int64_t>()->default_value("10"))(
      "journal", "file to which runs are appended",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = standin::ParseOptions(options, argc, argv);
  net::EventLoop loop;
  standin::Minion minion(loop, parsed["id"].as<std::string>(),
                         parsed["slots"].as<int>(),
                         parsed["work-ms"].as<std::int64_t>(),
                         parsed["journal"].as<std::string>());
  return standin::ServeUntilStopped(
      loop, parsed["listen"].as<std::string>(),
      [&](const net::HttpRequest& request, const net::HttpReply& reply) {
        minion.HandleRequest(request, reply);
      });
}
