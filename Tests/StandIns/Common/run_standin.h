#pragma once

#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "LibCore/address.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Parses the options of a stand-in, all of which have defaults. Exits with
/// code 2 on a bad command line.
inline auto ParseOptions(cxxopts::Options& options, int argc, char** argv)
    -> cxxopts::ParseResult {
  try {
    return options.parse(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    std::exit(2);
  }
}

/// Serves HTTP until SIGTERM.
/// @return the exit code.
inline auto ServeUntilStopped(net::EventLoop& loop,
                              const std::string& listen,
                              net::HttpServer::Handler handler) -> int {
  core::Reason reason;
  const auto address = core::ParseAddress(listen, "listen", reason);
  const auto server = address ? net::HttpServer::create(
                                    loop, *address, std::move(handler), reason)
                              : nullptr;
  if (server == nullptr) {
    std::cerr << reason.message << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

/// Parses a JSON object from a request.
/// @return the object, or an empty object when the body is not one.
inline auto ParseBody(const net::HttpRequest& request) -> core::Json {
  auto document = core::Json::parse(request.body, nullptr, false);
  return document.is_object() ? document : core::Json::object();
}

}  // namespace kcm::standin
