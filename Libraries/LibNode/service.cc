#include "LibNode/service.h"

#include <csignal>
#include <iostream>

#include "LibCore/event.h"
#include "LibCore/service_command_line.h"
#include "LibNode/settings_reference.h"

namespace kcm::node {

namespace {

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
  const auto name = "kcm-" + std::string(NameOf(role));
  const auto line = core::ParseServiceCommandLine(
      argc, argv, name,
      "The " + std::string(NameOf(role)) + " of one entry VM.",
      {{"settings-reference", "print the page on all settings",
        SettingsReference}});
  if (line.exit_code) {
    return *line.exit_code;
  }
  if (line.config.empty()) {
    std::cerr << name << ": --config FILE.toml is missing.\n";
    return core::kExitUsage;
  }
  core::Reason reason;
  auto settings = LoadNodeSettings(line.config, reason);
  if (!settings) {
    std::cerr << reason.message << "\n";
    return core::kExitUsage;
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
    return core::kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  StopOnSignals(*node, *service);
  core::LogEvent(core::Event::kStarted, {{"version", core::kVersion}});
  node->loop().Run();
  core::LogEvent(core::Event::kStopped);
  return 0;
}

}  // namespace kcm::node
