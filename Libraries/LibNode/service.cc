#include "LibNode/service.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "LibCore/event.h"
#include "LibNode/settings_reference.h"

#ifndef KCM_VERSION
#define KCM_VERSION "0.1.0"
#endif

namespace kcm::node {

namespace {

constexpr int kExitUsage = 2;

struct CommandLine {
  std::string config;
  bool check = false;
  /// Set when the process has nothing more to do.
  std::optional<int> exit_code;
};

auto ParseCommandLine(int argc, const char* const* argv, Role role)
    -> CommandLine {
  const auto name = "kcm-" + std::string(NameOf(role));
  cxxopts::Options options(
      name, "The " + std::string(NameOf(role)) + " of one entry VM.");
  options.add_options()("config", "settings file in TOML",
                        cxxopts::value<std::string>())(
      "check", "check the settings and leave")(
      "settings-reference", "print the page on all settings")(
      "version", "print the version")("help", "print this text");
  CommandLine line;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      line.exit_code = 0;
    } else if (parsed.count("version") != 0) {
      std::cout << name << " " << KCM_VERSION << "\n";
      line.exit_code = 0;
    } else if (parsed.count("settings-reference") != 0) {
      std::cout << SettingsReference();
      line.exit_code = 0;
    } else if (parsed.count("config") == 0) {
      std::cerr << name << ": --config FILE.toml is missing.\n";
      line.exit_code = kExitUsage;
    } else {
      line.config = parsed["config"].as<std::string>();
      line.check = parsed.count("check") != 0;
    }
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    line.exit_code = kExitUsage;
  }
  return line;
}

auto StopOnSignals(Node& node, Service& service) -> void {
  const auto drain = [&node, &service, draining = false]() mutable {
    if (std::exchange(draining, true)) {
      // A second signal changes nothing: the drain goes on.
      return;
    }
    core::LogEvent(core::Event::kDraining);
    auto& loop = node.loop();
    loop.After(node.settings().drain_timeout_ms, [&loop] { loop.Stop(); });
    service.Drain([&loop] { loop.Stop(); });
  };
  const auto shared = std::make_shared<std::function<void()>>(std::move(drain));
  node.loop().OnSignal(SIGTERM, [shared] { (*shared)(); });
  node.loop().OnSignal(SIGINT, [shared] { (*shared)(); });
}

}  // namespace

auto RunService(int argc,
                const char* const* argv,
                Role role,
                const Service::Factory& factory) -> int {
  const auto line = ParseCommandLine(argc, argv, role);
  if (line.exit_code) {
    return *line.exit_code;
  }
  core::Reason reason;
  auto settings = LoadNodeSettings(line.config, reason);
  if (!settings) {
    std::cerr << reason.message << "\n";
    return kExitUsage;
  }
  if (line.check) {
    std::cout << line.config << ": the settings are good.\n";
    return 0;
  }
  core::SetUpLogging(BusNameOf(settings->name, role), settings->json_logs);
  auto node = Node::create(std::move(*settings), role, reason);
  auto service = node == nullptr ? nullptr : factory(*node, reason);
  if (service == nullptr) {
    std::cerr << reason.message << "\n";
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  StopOnSignals(*node, *service);
  core::LogEvent(core::Event::kStarted, {{"version", KCM_VERSION}});
  node->loop().Run();
  core::LogEvent(core::Event::kStopped);
  return 0;
}

}  // namespace kcm::node
